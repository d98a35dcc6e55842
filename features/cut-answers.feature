Feature: An answer that is cut off is never taken for a whole one

  # Guards against an empty or short answer with status 200 from a target that stops within the head of its answer.
  Scenario Outline: The head of an answer <form> is cut at any byte, and the target <ending> the <connection> connection
    Given an entry before 1 target
    When the heads of answers "<form>" are cut everywhere, and the target <ending> its <connection> connection
    Then each of these requests has ended with status 502, and its target has run it once

    Examples:
      | form                                   | ending | connection |
      | with a length                          | ends   | new        |
      | with a length                          | ends   | used       |
      | with a length                          | resets | new        |
      | with a length                          | resets | used       |
      | in chunks                              | ends   | new        |
      | in chunks                              | ends   | used       |
      | in chunks                              | resets | new        |
      | in chunks                              | resets | used       |
      | without a length                       | ends   | new        |
      | without a length                       | ends   | used       |
      | without a length                       | resets | new        |
      | without a length                       | resets | used       |
      | with a length, after an interim answer | ends   | new        |
      | with a length, after an interim answer | ends   | used       |
      | with a length, after an interim answer | resets | new        |
      | with a length, after an interim answer | resets | used       |

  # Guards against a stream that is cut and looks whole to a caller for whom the end of the connection is the end of the answer.
  Scenario Outline: A stream to a caller of HTTP/1.0 ends with a reset only if it is cut: the target answers "<behaviour>"
    Given an entry before 1 target
    And the next target answers "<behaviour>"
    When an HTTP 1.0 caller asks for a stream
    Then it gets <events> events, and its connection <ending>

    Examples:
      | behaviour | events | ending            |
      | answer    | 6      | ends              |
      | cut       | 3      | ends with a reset |

  # Guards against taking a reset for the end of an engine's answer, and against an assertion of the HTTP client that ends the process.
  Scenario Outline: An engine <ending> its connection after <bytes> bytes of an answer without a length that is read later
    When an engine <ending> its connection after <bytes> bytes of an answer without a length that is read later
    Then the answer of the engine is <outcome>

    Examples:
      | ending | bytes  | outcome |
      | ends   | 0      | cut     |
      | ends   | 100    | whole   |
      | ends   | 140000 | whole   |
      | resets | 100    | cut     |
      | resets | 140000 | cut     |

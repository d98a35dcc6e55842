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

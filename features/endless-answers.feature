Feature: Answers without end cost a target its request, and nobody else

  # Guards against keeping and scanning an event that never ends, and against streams without progress.
  Scenario Outline: A stream that makes no progress resumes at another target: <what>
    Given an entry before 2 targets
    And the next target answers "endless <what>"
    When a caller gets "/stream/1"
    Then the caller gets events 1 to 6, each once and complete

    Examples:
      | what               |
      | one event          |
      | lines of one event |
      | events without ids |
      | repeated events    |

  # Guards against trying a target without end again with the next requests.
  Scenario: A target that has sent an answer without end gets none of the next requests
    Given an entry before 2 targets
    And the next target answers "endless one event"
    When a caller gets "/stream/1"
    Then the caller gets events 1 to 6, each once and complete
    When 8 callers wait for answers at once
    Then one target has got 1 request, the other one 9

  # Guards against limits that cut large answers off.
  Scenario Outline: A large answer reaches a slow caller whole: <what>
    Given an entry before 1 target
    And the next target answers "large <what>"
    When a caller that reads slowly gets "<path>"
    Then the caller gets every byte of the large answer

    Examples:
      | what                           | path       |
      | a body with a length           | /read/1    |
      | a body in chunks of one byte   | /release/1 |
      | a stream with a large event    | /stream/1  |
      | a stream of events without ids | /talk/1    |

  # Guards against an assertion of the HTTP client, which ends the process with all its requests.
  Scenario Outline: An answer without a length ends while it waits for its caller: the target <ending> its connection
    When a target <ending> its connection while its answer without a length is paused
    Then the paused answer is "<outcome>"

    Examples:
      | ending | outcome    |
      | ends   | part whole |
      | resets | part cut   |

  # Guards against memory that grows with each write that waits for its caller, for as long as an answer without end lasts.
  Scenario: An answer leaves nothing behind for each part that its caller reads late
    When an answer of 100 parts is relayed to a caller who reads each one late
    Then no more listeners wait for the end of its response than before

  # Guards against reading one answer for so long that the other requests of the process wait.
  Scenario: An answer that arrives faster than it is read leaves turns of the event loop to other requests
    When a target has sent an answer of 8 MB before more than its beginning is read
    Then no turn of the event loop reads more than 128 KB of it

  # Guards against an id that goes unnoticed where events without ids are taken together, or where an event is cut.
  Scenario Outline: Events keep their ids however their bytes arrive
    When streams of events are split that arrive in parts drawn from seed <seed>
    Then each stream gives the events and ids that it has as a whole

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against reading until the deadline what brings an answer no further.
  Scenario Outline: An answer without end ends the attempt at once: <what>
    Given an entry before 2 targets
    And the next target answers "endless <what>"
    When a caller posts "a block" to "/release/7"
    Then the caller gets status <status> with outcome "<outcome>"

    Examples:
      | what                    | status | outcome |
      | interim answers         | 502    | unknown |
      | a status line           | 502    | unknown |
      | header fields           | 502    | unknown |
      | a chunk extension       | 502    | unknown |
      | a chunk size            | 502    | unknown |
      | a body without a length | 502    | unknown |
      | the body of a refusal   | 503    | not-run |

  # Guards against buffering more answers at once than the VM has memory for, and against keeping that memory.
  Scenario: Large answers that callers do not read yet take a bounded part of the memory
    Given an entry before 1 target
    When 5 callers get large answers at once and read nothing yet
    And a caller gets "/read/1"
    Then the caller gets the complete answer to that request
    And 3 of them get their whole answers as they read, and the others get status 502
    When 3 callers get large answers at once and read nothing yet
    Then 3 of them get their whole answers as they read, and the others get status 502

  # Guards against reading without a limit what the store, an engine or the platform sends.
  Scenario Outline: A client gives up an answer without end: <client>, <what>
    Given a server that answers "<what>" without end
    When the client of "<client>" calls it
    Then the call has failed, and the client has closed the connection after <most> MB at most

    Examples:
      | client                | what                    | most |
      | the store             | a body without a length | 40   |
      | the store             | interim answers         | 500  |
      | the engine of a rank  | a body without a length | 40   |
      | the engine of a rank  | interim answers         | 500  |
      | the engine of a group | a body without a length | 40   |
      | the list of VMs       | a body without a length | 40   |
      | the list of VMs       | interim answers         | 500  |

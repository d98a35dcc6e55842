Feature: A planned stop sends on no request that it would cut, and refuses at once what it does not send on

  # Guards against a request that is sent to a target late in the grace period and cut at its end, with no answer.
  Scenario Outline: A request of kind <kind> with a deadline of <deadline> ms, whose like take <known>, is <result> <at> ms after the stop began
    Given targets t1 and t2 of 8 slots, and a budget of 10 retries
    And requests of kind <kind> that lately took <known>
    And the entry stops within 8000 ms, of which callers may not know it for 2500
    When <at> ms later a request "late" of kind <kind> with a deadline of <deadline> ms is sent
    Then request "late" is <result>

    Examples:
      | kind          | deadline | known   | at   | result                 |
      | once          | 3000     | nothing | 0    | sent                   |
      | once          | 3000     | nothing | 4700 | sent                   |
      | once          | 3000     | nothing | 4900 | refused as not run     |
      | once          | 20000    | nothing | 0    | refused as not run     |
      | single stream | 8000     | nothing | 100  | refused as not run     |
      | stream        | 8000     | nothing | 2400 | sent                   |
      | stream        | 8000     | nothing | 2500 | refused as not run     |
      | idempotent    | 20000    | nothing | 2400 | sent                   |
      | single stream | 8000     | 1000 ms | 2400 | sent                   |
      | single stream | 8000     | 1000 ms | 2500 | refused as not run     |
      | stream        | 20000    | 4000 ms | 1700 | sent                   |
      | stream        | 20000    | 4000 ms | 1900 | refused as not run     |
      | stream        | 20000    | 6000 ms | 0    | refused as not run     |

  # Guards against a second attempt that is cut at the end of the grace period, where the caller could have repeated the request elsewhere.
  Scenario Outline: A request whose first attempt is lost <at> ms after the stop began, and whose like take <known>, <result>
    Given targets t1 and t2 of 8 slots, and a budget of 10 retries
    And requests of kind stream that lately took <known>
    And a request "begun" of kind stream with a deadline of 20000 ms is sent
    And the entry stops within 8000 ms, of which callers may not know it for 2500
    When its target loses "begun" <at> ms later
    Then request "begun" is <result>

    Examples:
      | known   | at   | result                 |
      | nothing | 1000 | sent                   |
      | nothing | 3000 | answered as not known  |
      | 1000 ms | 3000 | sent                   |
      | 1000 ms | 3500 | answered as not known  |

  # Guards against a silent attempt that is moved to another target, where it is cut.
  Scenario Outline: A silent request is <moved> <at> ms after the stop began, whose like take <known>
    Given targets t1, t2 and t3 of 8 slots, and a budget of 10 retries
    And a stream "other" that makes progress throughout
    And requests of kind stream that lately took <known>
    And a request "silent" of kind stream with a deadline of 20000 ms is sent
    And the entry stops within 8000 ms, of which callers may not know it for 2500
    When its target is silent from <at> ms after that on, and 1300 ms pass
    Then request "silent" is <moved>

    Examples:
      | known   | at   | moved     |
      | nothing | 3000 | sent      |
      | 1000 ms | 3000 | sent      |
      | 3000 ms | 3000 | not moved |

  # Guards against a request that its target refused, and that is sent on too late for another.
  Scenario: A request that its target refuses late in the grace period is refused as not run
    Given targets t1 and t2 of 8 slots, and a budget of 10 retries
    And a request "begun" of kind stream with a deadline of 20000 ms is sent
    And the entry stops within 8000 ms, of which callers may not know it for 2500
    When its target refuses "begun" 5000 ms later
    Then request "begun" is refused as not run

  # Guards against a body that is awaited, and then sent on and cut: its request is refused as soon as it comes too late.
  Scenario Outline: A request on <path> whose body is still arriving is refused before it is whole, <skip> ms after the stop began
    Given an entry before 1 target, with a grace period of 8000 ms
    When a caller sends the head of "POST <path>" and half of its body
    And the entry is told to stop, and <skip> ms pass
    Then it gets 1 whole answer with status 503, and the connection is closed
    And the target has run 1 request

    Examples:
      | path      | skip |
      | /long/1   | 0    |
      | /stream/1 | 2600 |

  # Guards against a request written ahead that is sent on as its turn comes, some milliseconds before the process closes its connection.
  Scenario: A request written ahead is refused if its turn comes too late
    Given an entry before 1 target, with a grace period of 8000 ms
    And the next 1 answers of target 1 wait
    When a caller writes "POST /long/1" and "POST /long/2" at once, and the first runs
    And the entry is told to stop, and 5000 ms pass
    And the first is answered
    Then it gets whole answers with status "200, 503"
    And the target has run 1 request

  # Guards against a connection that closes without an answer at the end of the grace period, where its caller can be told that it may have run.
  Scenario Outline: <first> that still runs at the end of the grace period is answered as not known, and what was written ahead as not run
    Given an entry before 1 target, with a grace period of 1000 ms, of which callers may not know it for 100
    And the next 1 answers of target 1 wait
    When a caller writes "<first>" and "POST /release/2" at once, and the first runs
    And the entry is told to stop, and 0 ms pass
    Then it gets whole answers with status "502, 503"
    And the target has run 1 request
    And the entry has stopped

    Examples:
      | first           |
      | GET /read/1     |
      | POST /release/1 |
      | POST /long/1    |

  # Guards against a request that waits at a target process which stops, begins late, and is cut there instead of sent to another target.
  Scenario Outline: A request that waits at a target which stops within <stop> ms, and whose like take <known>, <result> after <at> ms
    Given an entry linked to a target that runs 1 request at a time
    And requests that lately took <known> there
    When it gets two requests, stops within <stop> ms, and <at> ms pass
    Then the first one runs
    And the second one <result>

    Examples:
      | stop   | known   | at   | result                     |
      | 600000 | nothing | 0    | waits                      |
      | 5000   | nothing | 0    | is refused for "leaving"   |
      | 5000   | 1000 ms | 3000 | waits                      |
      | 5000   | 1000 ms | 3500 | is refused for "leaving"   |
      | 12000  | nothing | 9000 | waits                      |

  # Guards against an entry that waits for a target process which has ended, and repeats or answers its request late.
  Scenario: A request that still runs as a target's stop ends is given up there
    Given an entry linked to a target that runs 1 request at a time
    When it gets two requests, stops within 600000 ms, and 0 ms pass
    And the stop ends
    Then the first one is told as lost
    And the second one is refused for "leaving"

  # Guards against a stop that was revoked, and goes on to refuse requests.
  Scenario: A target whose stop was revoked runs the requests that wait
    Given an entry linked to a target that runs 1 request at a time
    When its stop within 600000 ms ends, and is revoked
    And it gets two requests
    Then the first one runs
    And the second one waits

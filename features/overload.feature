Feature: Under overload the system shares capacity, refuses early and limits retries

  Scenario: Organisations share a full target by weight
    Given a queue before an engine that runs 1 request at once
    When "granite" and "marble", weighted 3 to 1, each offer 40 requests
    And the engine runs 20 of them
    Then "granite" got about 3 in 4 of the runs

  Scenario: More urgent requests run first, and others do not starve
    Given a queue before an engine that runs 1 request at once
    When a request of urgency 5 has waited for 9 seconds
    And requests of urgency 1 keep arriving
    Then the request of urgency 5 runs before those that arrived later

  Scenario: A request that cannot start before its deadline is refused at once
    Given a queue before an engine that runs 1 request at once and takes 1000 ms for each
    When 5 requests wait
    And a request with a deadline in 2000 ms is offered
    Then it is refused as "late" with a retry delay
    And a request with a deadline in 60000 ms is queued

  Scenario: A full queue refuses requests
    Given a queue of 2 places before an engine that runs 1 request at once
    When 3 requests wait or run
    And a request with a deadline in 60000 ms is offered
    Then it is refused as "full" with a retry delay

  Scenario: A request is offered to other targets before it is queued
    Given a running system whose targets run 1 request at once, with engines that pace their answers
    When a caller asks for a long answer
    And 3 more callers ask for long answers
    Then each of the 4 requests runs at a different target

  Scenario Outline: Half of the targets fail, and retries do not multiply the load
    Given a running system that waits 50 ms for a lost link, on a held clock, with draws from seed <seed>
    And the engines of "stone-drafts-0" and "stone-drafts-1" break off every answer
    When 100 requests with prompts from seed <seed> are sent, one after another, 6 ms apart
    Then the engines have seen at most 120 requests
    And at least 60 requests were answered

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: Requests are answered while the engines of two targets are down and their processes run
    Given a running system
    And the engines of "stone-drafts-0" and "stone-drafts-1" are down
    When 40 requests are sent, one after another
    Then at least 40 requests were answered

  Scenario: A rate limit holds across entries, and refusals carry a retry delay
    Given a running system where "granite" may send 20 requests per second
    When each of 4 entries is sent 60 requests within a second
    Then at most 45 requests were admitted
    And the others were refused with 429, "not-run" and a retry delay

  Scenario: A concurrency limit holds across entries
    Given a running system where "granite" may run 3 requests at once
    And every entry has served a request
    And "yard-dispatch" holds its answers
    When each of 4 entries is sent 5 requests that are held
    Then at most 3 requests run at once and the others of 20 were refused with 429

  Scenario: A partitioned availability zone keeps to its share of a limit
    Given 8 entries in two zones that share a limit of 100 a second
    When the zones are partitioned and have detected it
    Then of 240 a second offered for 20 seconds at most 102 a second are admitted

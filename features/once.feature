Feature: A request that is not repeatable runs at most once, despite retries and failures

  Scenario: The same key twice at one entry
    Given a running system
    When entry 1 is asked to release ticket "7" with key "k"
    And entry 1 is asked to release ticket "7" with key "k" again
    Then both callers get the same complete answer
    And "yard-dispatch" has run 1 time

  Scenario: The same key at two entries of two zones at once
    Given a running system
    And "yard-dispatch" holds its answers
    When entry 1 is asked to release ticket "7" with key "k"
    And entry 3 is asked to release ticket "7" with key "k" again
    And both requests have reached a target
    And "yard-dispatch" sends its answers
    Then both callers get the same complete answer
    And "yard-dispatch" has run 1 time

  Scenario: The entry crashes while the request runs
    Given a running system
    And "yard-dispatch" holds its answers
    When entry 1 is asked to release ticket "7" with key "k"
    And "yard-dispatch" has begun 1 run
    And entry 1 crashes
    And entry 3 is asked to release ticket "7" with key "k" again
    And "yard-dispatch" sends its answers
    Then the second caller gets status 200
    And "yard-dispatch" has run 1 time

  Scenario: The target process crashes while the request runs, and is replaced
    Given a running system that waits 200 ms for a lost link
    And "yard-dispatch" holds its answers
    When entry 1 is asked to release ticket "7" with key "k"
    And "yard-dispatch" has begun 1 run
    And the target process that runs it crashes and is replaced
    Then the first caller gets status 502 and outcome "unknown"
    When entry 3 is asked to release ticket "7" with key "k" again
    Then the second caller gets status 409 and outcome "unknown"
    And "yard-dispatch" has run 1 time

  Scenario: A key is reused for a different request
    Given a running system
    When entry 1 is asked to release ticket "7" with key "k"
    Then the first caller gets status 200
    When entry 3 is asked to release ticket "8" with key "k" again
    Then the second caller gets status 422 and outcome "not-run"
    And "yard-dispatch" has run 1 time

  Scenario: The answer to the claim is lost after the claim took effect
    Given a running system
    And the platform loses the answer to the next write
    When entry 1 is asked to release ticket "7" with key "k"
    Then the first caller gets status 200
    And "yard-dispatch" has run 1 time

  Scenario: The platform is down
    Given a running system
    And the platform is down
    When entry 1 is asked to release ticket "7" with key "k"
    Then the first caller gets status 503 and outcome "not-run"
    And the first caller gets key state "unknown"
    And "yard-dispatch" has run 0 times

  Scenario: The platform is slower than the call timeout
    Given a running system
    And the platform takes 5000 ms for an answer
    When entry 1 is asked to release ticket "7" with key "k"
    Then the first caller gets status 503 and outcome "not-run"
    And "yard-dispatch" has run 0 times

  Scenario: A ticket works without the platform, and only once
    Given a running system
    And the platform is down
    And a caller holds a ticket for "yard-dispatch"
    When entry 1 is asked to release ticket "7" with that ticket
    And entry 3 is asked to release ticket "7" with that ticket again
    Then both callers get the same complete answer
    And "yard-dispatch" has run 1 time

  Scenario: The target process of a ticket is replaced
    Given a running system
    And a caller holds a ticket for "yard-dispatch"
    When every target process of "yard-dispatch" crashes and is replaced
    And entry 1 is asked to release ticket "7" with that ticket
    Then the first caller gets status 409 and outcome "not-run"
    And "yard-dispatch" has run 0 times

  Scenario: A forged ticket
    Given a running system
    And a caller holds a forged ticket for "yard-dispatch"
    When entry 1 is asked to release ticket "7" with that ticket
    Then the first caller gets status 400 and outcome "not-run"

  Scenario: Claims expire together, without separate deletes
    Given a running system
    When entry 1 is asked to release ticket "7" with key "k"
    Then the first caller gets status 200
    And the platform holds 1 claim
    When 26 hours pass
    Then the platform holds 0 claims
    And no process has deleted a claim

  Scenario: A request marked as not repeatable needs a key
    Given a running system
    When a caller marks a request as not repeatable and gives no key
    Then the first caller gets status 400 and outcome "not-run"

  Scenario: The key stays unused if no target accepts the request
    Given a running system
    And every target of "yard-dispatch" begins to stop
    When entry 1 is asked to release ticket "7" with key "k"
    Then the first caller gets status 503 and outcome "not-run"
    And the platform holds 0 claims

Feature: Real processes under faults drawn from a seed keep the guarantees, as callers and workers see them

  # Without it, a checker that overlooks a guarantee would pass whatever the processes do.
  Scenario Outline: The checker finds each violation: <violation>
    Given the history of a soak without violations
    When the history shows that "<violation>"
    Then the checker reports a violation of "<guarantee>" only

    Examples:
      | violation                                                 | guarantee     |
      | a caller gets the answer to another request               | answer        |
      | a stream without its last event ends as complete          | answer        |
      | a request that runs at most once runs at two workers      | once          |
      | a request that is refused as not run has run              | not-run       |
      | more retries arrive within a window than are allowed      | budget        |
      | an entry does not know a route 2.5 s after it was added   | configuration |
      | a worker gets a request 2.5 s after it has left           | departure     |
      | a request is cut by the planned stop of its entry         | stop          |
      | most requests fail after the last fault                   | return        |
      | requests with a part that has crashed five workers go on arriving | part |

  Scenario Outline: Six entries, faults of eight seconds, seed <seed>
    When a soak with 6 entries runs for 8 seconds, seed <seed>
    Then the soak has no violation

    Examples:
      | seed |
      | 1    |
      | 40   |

  # Guards against a part of prompts that goes on crashing workers through restarts, silent connections and a store that is away.
  Scenario: Six entries, faults of eight seconds and a part that crashes workers, seed 101
    When a soak with 6 entries and a part that crashes workers runs for 8 seconds, seed 101
    Then the soak has no violation

Feature: An attempt ends for the silence of its target only where that serves its caller

  # Guards against a request that may have run and is ended, with no answer, since its target is silent.
  Scenario Outline: A request of kind <kind>, of whose target nothing arrives for 3 s while others answer, is sent <sends> times
    Given targets t1, t2 and t3 of 8 slots, and a budget of 10 retries
    And a stream "other" that makes progress throughout
    When a request "silent" of kind <kind> with 2 attempts is sent, and 3000 ms pass
    Then "silent" has been sent <sends> times, and is not ended

    Examples:
      | kind          | sends |
      | once          | 1     |
      | single stream | 1     |
      | idempotent    | 2     |

  # Guards against an attempt that ends at its timeout although no other one can follow, and against one that never ends once it could not.
  Scenario Outline: The attempt of an idempotent request ends after 1000 ms if another one is possible: <attempts> attempts, <targets> targets, <retries> retries
    Given targets <targets> of 8 slots, and a budget of <retries> retries
    When a request "late" of kind idempotent with <attempts> attempts is sent, and <ms> ms pass
    Then "late" has been sent <sends> times, and is not ended
    When target t3 registers, and 300 ms pass
    Then "late" has been sent <then> times, and is not ended

    Examples:
      | targets   | retries | attempts | ms   | sends | then |
      | t1 and t2 | 10      | 2        | 950  | 1     | 2    |
      | t1 and t2 | 10      | 2        | 1100 | 2     | 2    |
      | t1        | 10      | 2        | 1500 | 1     | 2    |
      | t1 and t2 | 10      | 1        | 1500 | 1     | 1    |
      | t1 and t2 | 0       | 2        | 1500 | 1     | 1    |

  # Guards against a stream that is taken for late before its first event, as it has no timeout for one attempt.
  Scenario: The attempt of a stream does not end at the timeout of one attempt
    Given targets t1 and t2 of 8 slots, and a budget of 10 retries
    When a request "first" of kind stream with 2 attempts is sent, and 2000 ms pass
    Then "first" has been sent 1 times, and is not ended

  # Guards against a run that is left unknown since its caller has left, and against a target that works on for nobody.
  Scenario Outline: When its caller leaves, the attempt of a request of kind <kind> <goes on>
    Given targets t1 and t2 of 8 slots, and a budget of 10 retries
    When a request "left" of kind <kind> with 2 attempts is sent, and 100 ms pass
    And the caller of "left" leaves
    Then the attempt of "left" <goes on>

    Examples:
      | kind          | goes on |
      | once          | goes on |
      | single stream | ends    |
      | stream        | ends    |
      | idempotent    | ends    |

  # Guards against moving a request from target to target, each of which lets its newest request wait.
  Scenario: A stream that was moved for silence is moved again only after a longer one
    Given targets t1, t2 and t3 of 8 slots, and a budget of 10 retries
    And a stream "other" that makes progress throughout
    When a request "silent" of kind stream with 3 attempts is sent, has its first event, and 1300 ms pass
    Then "silent" has been sent 2 times, and is not ended
    When "silent" has its first event, and 1300 ms pass
    Then "silent" has been sent 2 times, and is not ended
    When 600 ms more pass
    Then "silent" has been sent 3 times, and is not ended
    And 2 retries were charged

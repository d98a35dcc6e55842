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

  # Guards against an attempt that was reserved while its request was silent, and is used seconds later at a target that has left meanwhile.
  Scenario: A request that goes on before its reserved attempt is used is not sent to a target that has left since
    Given targets t1, t2 and t3 of 8 slots, and a budget of 10 retries
    And target t3 takes 100 requests a second
    And target t2 takes 100 requests a second
    And a stream "other" that makes progress throughout
    When a request "silent" of kind stream with 2 attempts is sent, has its first event, and 0 ms pass
    And "silent" goes on for 5000 ms as soon as its next attempt is reserved
    And the reserved target leaves, and that of "silent" is silent for 2500 ms
    Then "silent" has been sent to two targets, and not to the reserved one

  # Guards against a reserved attempt that is given up since its own permit was the last one.
  Scenario: A late request is sent again with the last permit of another target
    Given targets t1 and t2 of 8 slots, and a budget of 10 retries
    And target t2 takes 1 requests a second
    When a request "late" of kind idempotent with 2 attempts is sent, and 5000 ms pass
    Then "late" has been sent 2 times, and is not ended

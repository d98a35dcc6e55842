Feature: An entry forwards requests directly to registered targets

  Scenario: A request reaches a target unchanged, without the caller's key
    Given an entry before 2 targets
    When a caller posts "fifty tons" to "/release/7?yard=2"
    Then the caller gets the complete answer to that request
    And one target has run "POST /release/7?yard=2" with "fifty tons"
    And the target received the organisation "barre" and no key

  Scenario Outline: What the configuration does not allow is refused and does not run: <what>
    Given an entry before 1 target
    When a caller sends a request with <what>
    Then the caller gets status <status>
    And no target has run anything

    Examples:
      | what                 | status |
      | an unknown key       | 401    |
      | no route             | 404    |
      | a body too large     | 413    |
      | headers too large    | 431    |
      | two lengths          | 400    |

  Scenario: A caller that sends its headers too slowly gets an error, and its connection is closed
    Given an entry before 1 target
    And the header timeout is 200 ms
    When a caller sends half of a request's headers and then nothing
    Then the caller gets status 408
    And no target has run anything

  Scenario Outline: An idempotent request is retried at another target when a target's answer is <manner>
    Given an entry before 2 targets
    And the next target answers "<manner>"
    When a caller gets "/read/1"
    Then the caller gets the complete answer to that request

    Examples:
      | manner         |
      | fail           |
      | refuse         |
      | unsigned       |
      | wrong-id       |
      | cut            |
      | unframed-reset |
      | reset          |

  Scenario: An entry without live peers uses only its share of the retry budget
    Given an entry before 2 targets
    And 6 unreachable entries are registered as well
    And all targets fail
    When a caller gets 40 requests one after another
    Then targets have run 44 requests

  Scenario Outline: A request that runs at most once is not sent again when a target's answer is <manner>
    Given an entry before 2 targets
    And the next target answers "<manner>"
    When a caller posts "a block" to "/release/7"
    Then the caller gets status <status> with outcome "<outcome>"
    And targets have run <runs> requests

    Examples:
      | manner         | status | outcome | runs |
      | refuse         | 503    | not-run | 0    |
      | reset          | 502    | unknown | 1    |
      | cut            | 502    | unknown | 1    |
      | unframed-reset | 502    | unknown | 1    |
      | wrong-id       | 502    | unknown | 1    |
      | late-refusal   | 502    | unknown | 1    |
      | unsigned       | 502    | unknown | 1    |

  # Guards against telling a caller that its request has not run by a copy of a refusal that names no request.
  Scenario: A refusal that names no request proves nothing on a connection that was used before
    Given an entry before 1 target
    When a caller posts 1 requests one after another
    And the next target answers "late-unnamed-refusal"
    And a caller posts "a block" to "/release/7"
    Then the caller gets status 502 with outcome "unknown"

  # Guards against losing the next request to a copy of a refusal that names no request.
  Scenario: A refusal that names no request counts on a new connection, which is not used again
    Given an entry before 1 target
    And the next target answers "unnamed-refusal"
    When a caller posts "a block" to "/release/7"
    Then the caller gets status 503 with outcome "not-run"
    When a caller posts "a block" to "/release/7"
    Then the caller gets the complete answer to that request

  Scenario: An answer without a length that ends with its connection is complete
    Given an entry before 1 target
    And the next target answers "unframed"
    When a caller posts "a block" to "/release/7"
    Then the caller gets the complete answer to that request

  Scenario: A second answer on a connection is discarded
    Given an entry before 1 target
    And each of the next 20 answers is followed by a second one
    When a caller posts 20 requests one after another
    Then each answer that the caller gets is that of its own request
    And no request has run twice

  Scenario: A request that runs at most once is not sent on a connection that its target may have closed
    Given an entry before 1 target
    And the next target answers "forget"
    When a caller posts 1 requests one after another
    And 1000 ms pass
    And a caller posts "a block" to "/release/7"
    Then the caller gets the complete answer to that request

  Scenario: A stream that is interrupted within an event resumes at another target
    Given an entry before 2 targets
    And the next target answers "cut"
    When a caller gets "/stream/1"
    Then the caller gets events 1 to 6, each once and complete

  # Guards against taking the end of a connection for the end of a stream, and against sending a complete stream again.
  Scenario Outline: A stream without a length that ends with its connection reaches the caller whole: <manner>
    Given an entry before 2 targets
    And the next target answers "<manner>"
    When a caller gets "/stream/1"
    Then the caller gets events 1 to 6, each once and complete
    And targets have run <runs> requests

    Examples:
      | manner         | runs |
      | unframed       | 1    |
      | unframed-cut   | 2    |
      | unframed-line  | 2    |
      | unframed-reset | 2    |

  Scenario: A stream without a length that no target can resume is visibly broken
    Given an entry before 1 target
    And the next target answers "unframed-cut"
    When a caller gets "/stream/1"
    Then the answer is visibly broken after event 3

  Scenario: A stream that no target can resume is visibly broken
    Given an entry before 1 target
    And the next target answers "cut"
    When a caller gets "/stream/1"
    Then the answer is visibly broken after event 3

  Scenario: When a caller disconnects, its request is aborted at the target
    Given an entry before 1 target
    And the next target answers "silent"
    When a caller disconnects while it waits for "/stream/1"
    Then the target sees that request aborted

  Scenario: A request is answered when its route's timeout has passed
    Given an entry before 1 target
    And the next target answers "silent"
    When a caller posts "a block" to "/short/1"
    Then the caller gets status 504 with outcome "unknown"

  Scenario: A leaving target gets no new requests
    Given an entry before 2 targets
    When target 1 announces that it is leaving
    And a caller posts 10 requests one after another
    Then target 1 has run nothing

  Scenario: A newer configuration is applied, and an older one is not
    Given an entry before 1 target
    When the route "/release/" is removed
    Then a caller soon gets status 404 for "/release/7"
    When the store holds the first configuration again
    Then a caller still gets status 404 for "/release/7"

  Scenario: An invalid configuration changes nothing
    Given an entry before 1 target
    When the store holds an invalid configuration
    And a caller posts "a block" to "/release/7"
    Then the caller gets the complete answer to that request

  Scenario: An entry that gets no answer from the store gets changes from a peer
    Given 2 entries before 1 target that know each other
    When the store stops answering "entry-1"
    And the route "/release/" is removed
    Then a caller soon gets status 404 for "/release/7"

  Scenario: An entry that starts while the store is down gets its state from a peer
    Given an entry before 1 target
    When the store stops answering "entry-2"
    And "entry-2" starts
    Then "entry-2" is soon ready

  Scenario: Changes that the store has already compacted are not missed
    Given an entry before 1 target
    When the route "/release/" is removed and the store compacts its history
    Then a caller soon gets status 404 for "/release/7"

  Scenario: Targets whose registrations expired during an outage of the store are used until a deadline to register again
    Given a directory with targets 1 and 2
    When the store is back without their registrations
    Then both targets are used for 1699 ms more
    When target 2 has registered again after 1000 ms
    Then after 1700 ms only target 2 is used

  Scenario: A target that leaves just as the store is available again gets no new requests two seconds later
    Given a directory with targets 1 and 2
    When the store is back without their registrations
    And the directory is looked at each 100 ms
    Then no target is used 1900 ms after

  Scenario: Of two targets at one address the one that registered last is used, unless it is gone
    Given a directory with targets 1 and 2
    When target 3 registers at the address of target 2
    Then only targets 1 and 3 are used
    When target 3 is found to be gone
    Then only targets 1 and 2 are used

  Scenario Outline: A target that restarts under its id is used again, an outdated registration is not: born <before>, <now>
    Given a target that was born at <before> and is known to be gone
    When its registration says that it was born at <now>, port 9
    And a late answer reports again that its former incarnation is gone
    Then it is <used>

    Examples:
      | before | now  | used                                                             |
      | 1000   | 2000 | used at port 9, and what was kept for its former incarnation is dropped |
      | 1000   | 1000 | not used                                                         |
      | 2000   | 1000 | not used                                                         |

  Scenario: Entries read groups from the listings that planners write, and ignore invalid ones
    Given an index of groups
    When the planner of "g1" lists "10.0.0.1:1" and "10.0.0.2:1" in epoch 1, beside one that cannot be read
    Then "10.0.0.2:1" is in "g1" and "10.0.0.3:1" in none
    When the planner of "g1" lists "10.0.0.1:1" and "10.0.0.3:1" in epoch 2, beside one that cannot be read
    Then "10.0.0.3:1" is in "g1" and "10.0.0.2:1" in none
    And "g1" is known to have been formed anew

  Scenario: A registration of a service that is not configured does not replace the target at its address
    Given an entry before 1 target
    When a registration of the service "other" appears at the target's address
    And a caller posts "a block" to "/release/7"
    Then the caller gets the complete answer to that request

  Scenario: A request that runs at most once is sent to another target after it reached ones that are gone
    Given an entry before 1 target
    And 3 targets that are gone are still registered at its address
    When a caller posts "a block" to "/release/7"
    Then the caller gets the complete answer to that request
    And targets have run 1 requests

  Scenario: A planned stop completes the open requests
    Given an entry before 1 target
    When the entry is told to stop while a caller waits for "/release/9"
    Then the entry is immediately not ready
    And the caller gets the complete answer to that request
    And the entry has stopped

  Scenario: A keep-alive connection is closed after its answer when the entry stops
    Given an entry before 1 target
    When the entry is told to stop during a stream on a keep-alive connection
    Then the caller gets the complete stream, and then the connection is closed
    And the entry has stopped

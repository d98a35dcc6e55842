Feature: An entry forwards straight to registered targets

  Scenario: A request reaches a target unchanged, without the caller's key
    Given an entry before 2 targets
    When a caller posts "fifty tons" to "/release/7?yard=2"
    Then the caller gets the whole answer to that request
    And one target has run "POST /release/7?yard=2" with "fifty tons"
    And the target was told the organisation "barre" and no key

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

  Scenario: A caller that is too slow with its headers is told so, and its connection ends
    Given an entry before 1 target
    And callers may take 200 ms for their headers
    When a caller sends half of a request's headers and no more
    Then the caller gets status 408
    And no target has run anything

  Scenario Outline: An idempotent request goes elsewhere when a target's answer is <manner>
    Given an entry before 2 targets
    And the next target answers "<manner>"
    When a caller gets "/read/1"
    Then the caller gets the whole answer to that request

    Examples:
      | manner         |
      | fail           |
      | refuse         |
      | unsigned       |
      | wrong-id       |
      | cut            |
      | unframed-reset |
      | reset          |

  Scenario: An entry that has heard no other takes only its part of the budget of repeats
    Given an entry before 2 targets
    And 6 other entries are registered that it cannot reach
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

  Scenario: An answer without a length that ends with its connection is whole
    Given an entry before 1 target
    And the next target answers "unframed"
    When a caller posts "a block" to "/release/7"
    Then the caller gets the whole answer to that request

  Scenario: A second answer on a connection reaches nobody
    Given an entry before 1 target
    And the next 20 answers are followed by another
    When a caller posts 20 requests one after another
    Then each answer that the caller gets is that of its own request
    And no request has run twice

  Scenario: A request that runs at most once takes no connection that its target may have dropped
    Given an entry before 1 target
    And the next target answers "forget"
    When a caller posts 1 requests one after another
    And 1000 ms pass
    And a caller posts "a block" to "/release/7"
    Then the caller gets the whole answer to that request

  Scenario: A stream that breaks within an event goes on at another target
    Given an entry before 2 targets
    And the next target answers "cut"
    When a caller gets "/stream/1"
    Then the caller gets events 1 to 6, each once and whole

  Scenario: A stream that nobody can go on with is visibly broken
    Given an entry before 1 target
    And the next target answers "cut"
    When a caller gets "/stream/1"
    Then the answer is visibly broken after event 3

  Scenario: A caller that leaves frees its target
    Given an entry before 1 target
    And the next target answers "silent"
    When a caller leaves while it waits for "/stream/1"
    Then the target sees that request cut off

  Scenario: A route's time ends with an answer
    Given an entry before 1 target
    And the next target answers "silent"
    When a caller posts "a block" to "/short/1"
    Then the caller gets status 504 with outcome "unknown"

  Scenario: A leaving target gets nothing new
    Given an entry before 2 targets
    When target 1 says that it is leaving
    And a caller posts 10 requests one after another
    Then target 1 has run nothing

  Scenario: A configuration is taken over, and an older one is not
    Given an entry before 1 target
    When the route "/release/" is taken away
    Then a caller soon gets status 404 for "/release/7"
    When the store names the first configuration again
    Then a caller still gets status 404 for "/release/7"

  Scenario: A configuration that cannot be used changes nothing
    Given an entry before 1 target
    When the store holds a configuration that cannot be used
    And a caller posts "a block" to "/release/7"
    Then the caller gets the whole answer to that request

  Scenario: An entry that the store turns away takes a peer's word
    Given 2 entries before 1 target that know each other
    When the store stops answering "entry-1"
    And the route "/release/" is taken away
    Then a caller soon gets status 404 for "/release/7"

  Scenario: An entry that starts while the store is down learns all from a peer
    Given an entry before 1 target
    When the store stops answering "entry-2"
    And "entry-2" starts
    Then "entry-2" is soon ready

  Scenario: Changes that the store has forgotten are not missed
    Given an entry before 1 target
    When the route "/release/" is taken away and the store forgets its history
    Then a caller soon gets status 404 for "/release/7"

  Scenario: Registrations that lapsed while the store was away may come back, and those that do not are gone
    Given a directory with targets 1 and 2
    When the store is back without their registrations
    Then both targets are used for 1699 ms more
    When target 2 has registered again after 1000 ms
    Then after 1700 ms only target 2 is used

  Scenario: A target that leaves just as the store comes back gets nothing new two seconds later
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

  Scenario Outline: A target that starts again under its id is a new one, its registration of before is not: born <before>, <now>
    Given a target that was born at <before> and is known to be gone
    When its registration says that it was born at <now>, port 9
    And a late answer tells again that its former life is gone
    Then it is <used>

    Examples:
      | before | now  | used                                                             |
      | 1000   | 2000 | used at port 9, and what was kept for its former life is dropped |
      | 1000   | 1000 | not used                                                         |
      | 2000   | 1000 | not used                                                         |

  Scenario: Entries learn groups from what their planners write, and leave out what cannot be read
    Given an index of groups
    When the planner of "g1" lists "10.0.0.1:1" and "10.0.0.2:1" in epoch 1, beside one that cannot be read
    Then "10.0.0.2:1" is in "g1" and "10.0.0.3:1" in none
    When the planner of "g1" lists "10.0.0.1:1" and "10.0.0.3:1" in epoch 2, beside one that cannot be read
    Then "10.0.0.3:1" is in "g1" and "10.0.0.2:1" in none
    And "g1" is known to have been formed anew

  Scenario: A registration that names no configured service takes no address away
    Given an entry before 1 target
    When a registration of the service "other" appears at the target's address
    And a caller posts "a block" to "/release/7"
    Then the caller gets the whole answer to that request

  Scenario: A request that runs at most once is sent on after it has met targets that are gone
    Given an entry before 1 target
    And 3 targets that are gone are still registered at its address
    When a caller posts "a block" to "/release/7"
    Then the caller gets the whole answer to that request
    And targets have run 1 requests

  Scenario: A planned stop cuts nothing off
    Given an entry before 1 target
    When the entry is told to stop while a caller waits for "/release/9"
    Then the entry is not ready at once
    And the caller gets the whole answer to that request
    And the entry has stopped

  Scenario: A connection that an answer had promised to keep ends with that answer after a stop
    Given an entry before 1 target
    When the entry is told to stop within a stream on a kept connection
    Then the caller gets the whole stream, and then the end of the connection
    And the entry has stopped

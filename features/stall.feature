Feature: What has gone silent is left, and nothing that is only slow

  Scenario: One connection to a target goes silent while the target goes on with others
    Given two streams at one target, both with their first event
    When one gets an event each 50 ms and the other none, for 2000 ms
    Then only the silent one is ended, and idle connections to that target are dropped

  Scenario: A stream that its caller does not read is not silent
    Given two streams at one target, both with their first event
    And the caller of the second does not read
    When one gets an event each 50 ms and the other none, for 2000 ms
    Then neither is ended

  Scenario: A stream that waits for its first event is not silent
    Given two streams at one target, one with its first event
    When one gets an event each 50 ms and the other none, for 2000 ms
    Then neither is ended

  Scenario: A target that stops with its whole service is not silent
    Given two streams at one target, both with their first event
    When neither gets an event for 2000 ms
    Then neither is ended

  Scenario Outline: A service is known to have stopped when none of its streams goes on: <streams> silent for <ms> ms
    Given <streams> streams at one target, all with their first event
    When none gets an event for <ms> ms
    Then the service <known> known to have stopped

    Examples:
      | streams | ms  | known |
      | 3       | 650 | is    |
      | 3       | 450 | isn't |
      | 2       | 650 | isn't |

  Scenario: A service that has become slow is not taken for stopped again and again
    Given 3 streams at one target, all with their first event
    When each gets an event each 600 ms, 20 times
    Then the service is taken for stopped at most 5 times

  Scenario Outline: While one of two groups has stopped, the other takes its requests: stopped <ms> ms ago
    Given a service of two groups, the first of which has stopped <ms> ms ago
    When a caller asks for the service
    Then its request is sent to a target of the second group first

    Examples:
      | ms   |
      | 100  |
      | 1900 |

  Scenario: A group that has been formed anew takes requests at once
    Given a service of two groups, the first of which has stopped 100 ms ago
    And the second has stopped as well
    And the first has been formed anew
    When a caller asks for the service
    Then its request is sent to a target of the first group first

  Scenario: When all groups of a service have stopped, its callers are refused at once
    Given a service of two groups, the first of which has stopped 100 ms ago
    And the second has stopped as well
    When a caller asks for the service
    Then it is told at once that its request did not run, and when to come back
    And its request is sent to no target

  Scenario: Nothing is sent for a caller that has left, not even to see whether the service runs again
    Given a service that has been down for 5000 ms
    When a caller that has come back leaves before its request is sent
    Then its request is sent to no target

  Scenario: A caller that comes back into an outage is refused at once, however long that has lasted
    Given a service that has been down for 5000 ms
    When one request has been let through
    And a caller that has come back asks
    Then its request is sent to no target
    And it is told at once that its request did not run, and when to come back

  Scenario: A request that was let through to a stopped service and met a target that is gone leaves its place to the next
    Given a service that has been down for 5000 ms
    When one request has been let through
    Then the next isn't let through
    When the first has met a target that is gone
    Then the next is let through

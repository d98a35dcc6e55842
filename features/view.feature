Feature: A view of the store recovers quickly after an outage and never goes back to older data

  Scenario: Calls use a short wait while the store does not answer
    Given a view of a store that answers
    When its calls end as "answered, lost, lost, answered, answered"
    Then they wait for "2000, 2000, 300, 300, 2000" ms

  Scenario: Calls that timed out are followed by the next almost at once
    Given a view of a store that answers
    When its calls end as "answered, lost, lost, lost, lost, lost, lost, answered"
    Then no pause after a lost call exceeds 50 ms

  Scenario Outline: <answer> of an earlier era that arrives late does not revert the view
    Given a view of a store in era 1
    When <answer> of era 1 is pending, a peer's view of era 2 arrives, and then the answer
    Then the view equals the peer's, in era 2, and has ignored an answer

    Examples:
      | answer        |
      | a list answer |
      | a wait answer |

  Scenario: Changes after a revision of an earlier era are ignored in the new one
    Given a view of a store in era 1
    When a wait of era 1 is pending, a peer's view of era 2 arrives, and the wait ends with changes of era 2
    Then the view equals the peer's, in era 2

  Scenario: An item older than the known one is ignored, and peers receive the newer one
    Given a view with configuration 7 and a target that is leaving
    When a newer view has configuration 5 and the target as ready
    Then the view has configuration 7 and a target that is leaving
    And a peer that merges this view has the same
    When a newer view has configuration 8 and a later incarnation of the target
    Then the view has configuration 8 and a target that is ready

  # Guards against keeping a target for two seconds, as if it could register again, although a peer knows that it was removed.
  Scenario: An item that a peer knows to have been removed is not retained
    Given a view with configuration 7 and a target that is leaving
    When it merges a peer's view of a new era, in which the target was removed
    Then the view has configuration 7 and no target

  Scenario: Peers are informed of a departure for a while after the registration has disappeared
    Given a directory with a target that is leaving
    When its registration disappears
    Then peers are informed of the departure for 5000 ms more

  # Guards against the result of a pending renewal hiding the loss of the key until the next renewal.
  Scenario: A registration with a pending renewal is written again after the store is restored without it
    Given a registration with a pending renewal call
    When the store is restored without it, and the call is answered
    Then it is written again within 2100 ms

  Scenario: Calls that are refused at once are spaced
    Given a view of a store that answers
    When its calls end as "answered, refused, refused, refused, refused, refused, refused, answered"
    Then the pauses grow from 50 ms to 1000 ms

  # Guards against a process that goes on waiting on connections that went silent while it was paused, and against a call for each sign of silence.
  Scenario Outline: The store is called again on a new connection after <signs>
    Given a view that waits for changes
    When it is checked at "<checks>" ms, with silence noted at "<silences>" ms
    Then it has opened new connections at "<reconnects>" ms, and then waited 300 ms at most

    Examples:
      | signs                        | checks                      | silences    | reconnects |
      | no sign                      | 0, 100, 200, 1100           |             |            |
      | a pause of the process       | 0, 100, 5100, 5200          |             | 5100       |
      | a sign                       | 0, 100, 200                 | 150         | 200        |
      | several signs within seconds | 0, 900, 1000, 1500, 2000, 2200, 2300 | 950, 1450, 1950 | 1000, 2200 |

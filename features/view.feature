Feature: A view of the store notices soon that the store is back

  Scenario: Calls wait only briefly while the store does not answer
    Given a view of a store that answers
    When its calls go as "answered, lost, lost, answered, answered"
    Then they wait for "2000, 2000, 300, 300, 2000" ms

  Scenario: Calls that were given up on follow each other without a pause
    Given a view of a store that answers
    When its calls go as "answered, lost, lost, lost, lost, lost, lost, answered"
    Then no pause after a lost call is longer than 50 ms

  Scenario Outline: <answer> of a former era that comes late takes nothing back
    Given a view that knows a store of era 1
    When <answer> of era 1 is on its way, a peer's view of era 2 comes in, and then the answer
    Then the view is of era 2, as the peer's, and has dropped an answer

    Examples:
      | answer        |
      | a list        |
      | a wait's end  |

  Scenario: Changes after a revision of a former era do not count in the new one
    Given a view that knows a store of era 1
    When a wait of era 1 is on its way, a peer's view of era 2 comes in, and the wait ends with changes of era 2
    Then the view is of era 2, as the peer's

  Scenario: What says less than what is known does not count, and peers are told so
    Given a view that knows configuration 7 and a target that leaves
    When a newer view tells of configuration 5, and that the target is ready
    Then the view goes by configuration 7 and a target that leaves
    And a peer that takes it over does as well
    When a newer view tells of configuration 8, and of a later life of the target
    Then the view goes by configuration 8 and a target that is ready

  # A target that a peer knew to be gone was kept for two seconds as one that registers again.
  Scenario: What a peer knows to have been removed is not kept
    Given a view that knows configuration 7 and a target that leaves
    When it takes over a peer's view of a new era, which lacks the target since it was removed
    Then the view goes by configuration 7 and no target

  Scenario: Peers are told of a target that leaves for a while after its registration has gone
    Given a directory that knows of a target that leaves
    When its registration has gone
    Then peers are told for 5000 ms more that it leaves

  # What became of a renewal that was under way hid that the key was gone, for as long as until the next renewal.
  Scenario: A registration whose renewal is under way as the store goes back is written again
    Given a registration that is renewed by a call under way
    When the store goes back without it, and the call is answered
    Then it is written again within 2100 ms

  Scenario: Calls that are refused at once are spaced
    Given a view of a store that answers
    When its calls go as "answered, refused, refused, refused, refused, refused, refused, answered"
    Then the pauses grow from 50 ms to 1000 ms

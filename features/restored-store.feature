Feature: A store that comes back from an older copy takes nothing back, and nothing stands still

  Background:
    Given 6 entries and 4 targets that follow a store

  # A view that only went forward in revisions dropped every list until the store's revisions had passed its own.
  Scenario Outline: What is written after the store has come back older is in force: <lost> changes lost, away for <away> ms
    When the store comes back without its last <lost> changes after <away> ms
    And the operator changes the configuration, a target registers and another leaves
    And the entries go on for 5000 ms
    Then nothing was taken back or came late
    And log and metrics of every entry tell of the new era, and that its view goes on

    Examples:
      | lost | away |
      | 12   | 0    |
      | 12   | 300  |
      | 12   | 1500 |
      | 400  | 0    |
      | 400  | 300  |
      | 400  | 1500 |

  # Without a pause between two answers that bring nothing each process asked 250 to 340 times a second.
  Scenario Outline: A store that has come back older is not pressed: <lost> changes lost
    When the store comes back without its last <lost> changes after <away> ms
    And the entries go on for 5000 ms
    Then no entry has made more than 30 calls since

    Examples:
      | lost | away |
      | 12   | 0    |
      | 400  | 1500 |

  # The watch was answered by a store whose revisions had passed the view's meanwhile, and what differs was never heard.
  Scenario: Revisions that are given out again do not hide changes
    When the store comes back without its last 12 changes after 0 ms, silently, and at once a target leaves and 20 others follow
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

  Scenario Outline: A store that goes back without saying so: <lost> changes lost
    When the store does not tell its era
    And the store comes back without its last <lost> changes after 300 ms
    And the operator changes the configuration, a target registers and another leaves
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

    Examples:
      | lost |
      | 12   |
      | 400  |

  # A change may be the only one that the copy lacks, and be written again after a newer one.
  Scenario: An older configuration that is written again after a newer one is not taken
    When the operator changes the configuration twice, and the store comes back without the second
    And the operator changes the configuration, and then writes the one before again
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

  Scenario: What the copy lacks counts on until it is written again
    When the operator changes the configuration, a target registers and another leaves
    And the entries go on for 1000 ms
    And the store comes back from the copy of before that after 300 ms, and all is written again 1500 ms later
    And the entries go on for 5000 ms
    Then nothing was taken back or came late
    And no entry has dropped a target that is registered

  Scenario: What nobody writes again goes after a while
    When a target registers that nobody will write again
    And the store comes back from the copy of before that after 300 ms, and all is written again 500 ms later
    And the entries go on for 4000 ms
    Then no entry sends to that target

  # An entry that starts has nothing to compare the store with but its peers.
  Scenario: An entry that starts while the store is older takes the newer configuration from its peers
    When the operator changes the configuration, a target registers and another leaves
    And the entries go on for 1000 ms
    And the store comes back from the copy of before that, and an entry starts before all is written again
    Then the entry that has started has served nobody by an older configuration
    And it sends nothing to the target that has left
    And nothing was taken back or came late

  # Its peers still go by the store of before, which it cannot tell from one that has less.
  Scenario: An entry that starts knows of the new era before its peers do
    When the operator changes the configuration, a target registers and another leaves
    And the entries go on for 1000 ms
    And the store comes back from the copy of before that, and only an entry that starts reaches it
    Then the entry that has started has served nobody by an older configuration
    And nothing was taken back or came late

  Scenario: An entry that starts does not use a target that was removed and that the copy has again
    When the registration of a target is removed
    And the store comes back from the copy of before that, and an entry starts before all is written again
    Then it sends nothing to the target that has left
    And nothing was taken back or came late

  # Waits that are never answered last for longer than a change may take.
  Scenario: The first entry that knows of the new era tells the others
    When the connections of all waits but one entry's go silent
    And the store comes back without its last 12 changes after 0 ms, silently, and at once a target leaves and 3 others follow
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

  Scenario: An entry that hears only its peers follows them into the new era
    When one entry loses the store
    And the store comes back without its last 12 changes after 300 ms
    And the operator changes the configuration, a target registers and another leaves
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

  Scenario: A target that has left and is gone is not used again because the copy has its registration
    When a target leaves and its registration is removed
    And the store comes back from the copy of before that after 300 ms, and all is written again 1500 ms later
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

  Scenario: A target that was removed without a word is not used again because the copy has its registration
    When the registration of a target is removed
    And the store comes back from the copy of before that after 300 ms, and all is written again 3000 ms later
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

  Scenario: Two drills in a row
    When the operator changes the configuration, a target registers and another leaves
    And the store comes back from the copy of before that after 300 ms, and all is written again 400 ms later
    And the operator changes the configuration, a target registers and another leaves
    And the store comes back from the copy of before that after 0 ms, and all is written again 400 ms later
    And the entries go on for 5000 ms
    Then nothing was taken back or came late

  # A registration was written once, and its loss showed after 200 s, or never where its lease was given to another.
  Scenario: Entries register again what the copy lacks, spread over time
    When 6 more entries start
    And the store comes back from the copy of before that after 300 ms, and all is written again 500 ms later
    And the entries go on for 3000 ms
    Then every entry is registered
    And no more than 10 writes have reached the store within 200 ms

  Scenario Outline: Drills mixed with other trouble: seed <seed>
    When drills, changes, starts, cuts, slow and lost answers are mixed by seed <seed> for 40000 ms
    Then nothing was taken back or came late
    And no entry has made more than 60 calls in a second

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
      | 11   |
      | 12   |
      | 22   |
      | 61   |
      | 66   |
      | 97   |
      | 266  |
      | 544  |
      | 873  |

Feature: Entries know who lives by heartbeats, and the platform's list is a hint

  Background:
    Given an entry that lists 3 others in "barre-hall" and 2 in "quincy-hall"

  Scenario: Suspicion, death and return
    When all others are heard
    And 7 seconds pass without a word
    Then "barre-1" is "suspect"
    When 10 seconds pass without a word
    Then "barre-1" is "dead"
    When "barre-1" is heard with a higher counter
    Then "barre-1" is "live"

  Scenario: News by a third entry counts, old news does not
    When all others are heard
    And 7 seconds pass without a word
    And "barre-2" passes on a higher counter of "barre-1"
    Then "barre-1" is "live"
    When 7 seconds pass without a word
    And "barre-2" passes on the same counter of "barre-1"
    Then "barre-1" is "suspect"

  Scenario: A replaced process at the same address
    When all others are heard
    And "barre-1" is heard from a later life
    And 7 seconds pass without a word
    And "barre-2" passes on a high counter of the earlier life of "barre-1"
    Then "barre-1" is "suspect"

  Scenario: The list lags
    When all others are heard
    And the list no longer names "barre-1"
    Then "barre-1" is "live"
    When 20 seconds pass without a word
    And the list no longer names "barre-1"
    Then "barre-1" is forgotten

  Scenario: A zone is cut off
    When all others are heard
    And 20 seconds pass in which only "barre-hall" is heard
    Then half of the zones are visible
    And 4 entries are counted as live

  Scenario: An entry that starts does not take itself for the only one
    Then 6 entries are counted as live
    When 20 seconds pass without a word
    Then 1 entry is counted as live

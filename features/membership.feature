Feature: Entries detect live peers by heartbeats; the platform's list only names candidates

  Background:
    Given an entry that lists 3 others in "barre-hall" and 2 in "quincy-hall"

  Scenario: A silent entry becomes suspect, then dead, and live again
    When all others send heartbeats
    And 7 seconds pass without heartbeats
    Then "barre-1" is "suspect"
    When 10 seconds pass without heartbeats
    Then "barre-1" is "dead"
    When "barre-1" sends a heartbeat with a higher counter
    Then "barre-1" is "live"

  Scenario: A counter passed on by a third entry is used only if it is new
    When all others send heartbeats
    And 7 seconds pass without heartbeats
    And "barre-2" passes on a higher counter of "barre-1"
    Then "barre-1" is "live"
    When 7 seconds pass without heartbeats
    And "barre-2" passes on the same counter of "barre-1"
    Then "barre-1" is "suspect"

  Scenario: A process is replaced at the same address
    When all others send heartbeats
    And "barre-1" sends a heartbeat of a later incarnation
    And 7 seconds pass without heartbeats
    And "barre-2" passes on a high counter of the earlier incarnation of "barre-1"
    Then "barre-1" is "suspect"

  Scenario: The list lags behind
    When all others send heartbeats
    And the list no longer contains "barre-1"
    Then "barre-1" is "live"
    When 20 seconds pass without heartbeats
    And the list no longer contains "barre-1"
    Then "barre-1" is no longer a member

  Scenario: A zone is partitioned
    When all others send heartbeats
    And 20 seconds pass with heartbeats from "barre-hall" only
    Then half of the zones are reachable
    And 4 entries are counted as live

  Scenario: A new entry does not conclude that it is alone
    Then 6 entries are counted as live
    When 20 seconds pass without heartbeats
    Then 1 entry is counted as live

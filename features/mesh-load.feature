Feature: Entries tell each other what is in flight, at a price that grows little with their number

  # Pattern: each entry tells each other one. Of 32 entries in three zones two thirds of all reports go to other zones, where
  # what is in flight is looked at only when the own zone is full.
  Scenario: Thirty-two entries in three zones
    Given 32 entries in 3 zones before 72 targets
    When they serve for 10 seconds and then nothing begins or ends for 1400 milliseconds
    Then each has sent at most 30 KB a second while it served
    And each counts all requests in flight

Feature: The cost of reporting requests in flight between entries grows little with their number

  # Each entry reports to each other one. With 32 entries in three zones, two thirds of all reports go to other zones, whose counts are
  # used only when the own zone is full.
  Scenario: Thirty-two entries in three zones
    Given 32 entries in 3 zones with 72 targets
    When they serve for 10 seconds, and then no request starts or ends for 1400 milliseconds
    Then each has sent at most 30 KB per second while it served
    And each counts all requests in flight

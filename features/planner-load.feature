Feature: Maps of a service with several groups of ranks

  # What was seen: in a service of three groups of 24 ranks less than half of the worth owed was earned, from the first
  # second on. Groups stood still for seconds between them, most orders to hold a group were refused since the pass they
  # named had begun, and maps came into force two seconds and more after they were proposed.
  # How it comes about: the process in office beside one rank plans for every group of its service. How often ranks send
  # their counts is reckoned from one group, so that those of three fill the link of its VM. Reports and orders queue
  # behind them, and what has waited is decided on as if it were new.
  # What proved it: here reports came up to 540 ms late and groups changed their maps 2 to 4 times; with an office and a
  # planner for each group 4 and 5 times, and once a copy's relief was weighed against its own layer, 6 and more.

  Scenario: Three groups of one service, with a link of 5.6 Mbit/s at each VM, follow demand without standing still
    Given a service of 3 groups of 24 ranks, whose VMs have links of 5.6 Mbit/s
    When 16 seconds pass with a shift of its demand each 4 seconds
    Then each of its groups has changed its map at least 6 times
    And none of its passes began on two maps
    And none of its passes was held back longer than 100 milliseconds
    And each map was in force at most 1200 milliseconds after it was proposed
    And the store lists the engines of each group for the entries

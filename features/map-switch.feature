Feature: In every step all ranks of a group use one and the same expert map

  Scenario: A switch without trouble
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    Then all ranks come to use epoch 1
    And every step so far used one map, and steps go on

  Scenario Outline: A rank stalls <when>
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    And the switch is <when>
    And rank 2 stalls for 200 seconds
    Then every step so far used one map, and steps go on
    And all ranks use the same epoch
    When a planner proposes the next epoch with fencing number 6
    Then all ranks come to use that epoch

    Examples:
      | when      |
      | staging   |
      | preparing |

  Scenario Outline: The process of rank <rank> restarts with empty memory while the switch is <when>
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    And the switch is <when>
    And the process of rank <rank> restarts
    Then the switch ends
    And every step so far used one map, and steps go on
    And all ranks use the same epoch

    Examples:
      | rank | when      |
      | 2    | staging   |
      | 2    | preparing |
      | 0    | staging   |
      | 0    | preparing |

  Scenario: Every process restarts between the decision and its arrival
    Given a group of 4 ranks
    And decisions to ranks 1 to 3 are lost
    When a planner proposes epoch 1 with fencing number 5
    And rank 0's engine knows the decision
    And the process of every rank restarts
    And messages arrive again
    Then all ranks come to use epoch 1
    And every step so far used one map, and steps go on

  Scenario: The answer to the decision is lost after rank 0's engine took it
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    And the switch is preparing
    And the next answer of rank 0's engine is lost
    Then the switch ends
    And every step so far used one map, and steps go on
    And all ranks use the same epoch

  Scenario: A planner that was paused past its lease comes back beside its successor
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 6
    Then all ranks come to use epoch 1
    When the earlier planner proposes epoch 1 with fencing number 5
    And the earlier planner proposes epoch 2 with fencing number 5
    And 100 turns pass
    Then all ranks come to use epoch 1
    And every step so far used one map, and steps go on

  Scenario: An engine that ignores fencing numbers gets a late order after its process restarted
    Given a group of 4 ranks whose engines ignore fencing numbers
    And the orders to rank 3 of proposal 5 are delayed
    When a planner proposes epoch 1 with fencing number 5
    And 1300 turns pass
    And a planner proposes epoch 1 with fencing number 6
    And the process of rank 3 restarts
    And the delayed orders arrive after those of proposal 6
    Then all ranks come to use epoch 1
    And every rank uses the map of proposal 6
    And every step so far used one map, and steps go on

  Scenario: A restarted process before such an engine takes no order while it cannot ask the platform
    Given a group of 4 ranks whose engines ignore fencing numbers
    And the platform cannot be asked for fencing numbers
    When the process of rank 3 restarts
    And a planner proposes epoch 1 with fencing number 5
    And 100 turns pass
    Then all ranks use epoch 0
    When the platform can be asked again
    Then all ranks come to use epoch 1

  Scenario: Any failures, together and twice, over 500 seeded runs
    When 500 groups of 4 ranks switch maps while messages are lost, doubled and late, ranks stall and processes restart
    Then no step of any group used two maps
    And every group goes on once the failures end

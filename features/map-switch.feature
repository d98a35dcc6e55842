Feature: In every step all ranks of a group use the same expert map

  Scenario: A switch without failures
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    Then all ranks eventually use epoch 1
    And every step so far used one map, and steps continue

  Scenario Outline: A rank stalls <when>
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    And the switch is <when>
    And rank 2 stalls for 200 seconds
    Then every step so far used one map, and steps continue
    And all ranks use the same epoch
    When a planner proposes the next epoch with fencing number 6
    Then all ranks eventually use that epoch

    Examples:
      | when      |
      | staging   |
      | preparing |

  Scenario Outline: The process of rank <rank> restarts without its state while the switch is <when>
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    And the switch is <when>
    And the process of rank <rank> restarts
    Then the switch ends
    And every step so far used one map, and steps continue
    And all ranks use the same epoch

    Examples:
      | rank | when      |
      | 2    | staging   |
      | 2    | preparing |
      | 0    | staging   |
      | 0    | preparing |

  Scenario: Every process restarts between the decision and its delivery
    Given a group of 4 ranks
    And decisions to ranks 1 to 3 are lost
    When a planner proposes epoch 1 with fencing number 5
    And rank 0's engine has received the decision
    And the process of every rank restarts
    And messages are delivered again
    Then all ranks eventually use epoch 1
    And every step so far used one map, and steps continue

  Scenario: The answer to the decision is lost after rank 0's engine took it
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 5
    And the switch is preparing
    And the next answer of rank 0's engine is lost
    Then the switch ends
    And every step so far used one map, and steps continue
    And all ranks use the same epoch

  Scenario: A planner that was paused until its lease expired resumes next to its successor
    Given a group of 4 ranks
    When a planner proposes epoch 1 with fencing number 6
    Then all ranks eventually use epoch 1
    When the earlier planner proposes epoch 1 with fencing number 5
    And the earlier planner proposes epoch 2 with fencing number 5
    And 100 turns pass
    Then all ranks eventually use epoch 1
    And every step so far used one map, and steps continue

  Scenario: An engine that ignores fencing numbers gets a late order after its process restarted
    Given a group of 4 ranks whose engines ignore fencing numbers
    And the orders to rank 3 of proposal 5 are delayed
    When a planner proposes epoch 1 with fencing number 5
    And 1300 turns pass
    And a planner proposes epoch 1 with fencing number 6
    And the process of rank 3 restarts
    And the delayed orders arrive after those of proposal 6
    Then all ranks eventually use epoch 1
    And every rank uses the map of proposal 6
    And every step so far used one map, and steps continue

  Scenario: A restarted process of such an engine takes no orders while it cannot read fencing numbers from the platform
    Given a group of 4 ranks whose engines ignore fencing numbers
    And fencing numbers cannot be read from the platform
    When the process of rank 3 restarts
    And a planner proposes epoch 1 with fencing number 5
    And 100 turns pass
    Then all ranks use epoch 0
    When fencing numbers can be read from the platform again
    Then all ranks eventually use epoch 1

  Scenario: Random mixes of failures, over 500 seeded runs
    When 500 groups of 4 ranks switch maps while messages are lost, duplicated and delayed, ranks stall and processes restart
    Then no step of any group used two maps
    And every group continues once the failures end

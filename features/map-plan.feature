Feature: Expert load stays balanced across ranks at low cost

  Scenario: A group with uneven load gets a better map while requests run
    Given a running system whose engines report uneven expert loads
    When the engines run until all ranks use epoch 1
    Then the ranks' loads are more even than before
    And no step of the engines used two maps
    And the platform records epoch 1

  Scenario: The platform is unavailable when the map is to change
    Given a running system whose engines report uneven expert loads
    And the platform is down
    When the engines run for 60 steps
    Then all engines use epoch 0
    When the platform is up again
    And the engines run until all ranks use epoch 1
    Then no step of the engines used two maps

  Scenario: The map stops changing if loads vary only by noise
    When a planner sees 80 intervals of kind "noise" for 8 ranks of 10 slots
    Then it moved at most 60 copies in the last 40 intervals
    And its mean skew is at most 1.2 times that of a repack

  Scenario: The map follows a sudden change of loads
    When a planner sees 60 intervals of kind "flip" for 8 ranks of 10 slots
    Then its mean skew is at most 1.05 times that of a repack
    And it moved at most a tenth of what the repack moved

  Scenario: With a high weight on moves, few copies are moved and the skew still falls
    When a planner that weighs moves high sees 60 intervals of kind "season" for 8 ranks of 10 slots
    Then it moved at most 2 in 100 of what the repack moved
    And it removed at least half of the excess skew of the static map

  Scenario Outline: An invalid trace is refused with the place of the error
    When an operator replays a trace of <trace>
    Then the replay is refused with "<message>"

    Examples:
      | trace          | message                                |
      | nothing        | the trace is empty                     |
      | ragged layers  | line 2: loads.1: expected 3 experts    |
      | no JSON        | line 2: expected a JSON object         |
      | negative loads | line 1: loads.0.1: expected a number   |
      | falling times  | line 2: atMs: expected more than 5     |

  Scenario: The same seed gives the same trace
    When an operator writes the trace of kind "burst" with seed 3 twice
    Then both traces are the same

  Scenario: Every map of a replay holds every expert, and no rank holds one twice
    When an operator replays a trace under each policy and writes the maps
    Then every map holds every expert, and no rank holds one twice

Feature: A planner's term is unique and later than all before, whatever the store gives out again

  Background:
    Given 6 processes that seek a planner's office in a store

  # Terms were revisions: given out again, two planners held the same term, and their maps the same version.
  Scenario Outline: A store that has come back older, <away> ms away, without the office: <case>
    When one of them is in office since "<case>"
    And the store comes back from that copy after <away> ms
    And they go on for 6000 ms
    Then one of them is in office
    And no term was as high as one before
    And the office was vacant for at most <vacant> ms

    Examples:
      | case                        | away | vacant |
      | after the copy              | 0    | 3300   |
      | after the copy              | 1500 | 3300   |
      | after a term in the copy    | 0    | 3300   |
      | after a term in the copy    | 1500 | 3300   |
      | before the copy             | 0    | 3300   |
      | before the copy             | 1500 | 3300   |

  Scenario: The planner is lost with the store
    When one of them is in office since "after the copy"
    And it is lost, and the store comes back from that copy after 300 ms
    And they go on for 8000 ms
    Then one of them is in office
    And no term was as high as one before

  Scenario Outline: Drills mixed with planners that stand still: seed <seed>
    When drills and planners that stand still are mixed by seed <seed> for 60000 ms
    Then one of them is in office
    And no term was as high as one before

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

Feature: Terms of planners are unique and increasing, even if a restored store reuses revisions

  Background:
    Given 6 processes that campaign for a planner key in a store

  # Guards against terms that are plain revisions: the restored store reused them, so that two planners had the same term
  # and their maps the same version.
  Scenario Outline: The store is restored from an older copy after <away> ms, and the planner was elected <case>
    When one of them has been elected "<case>"
    And the store is restored from that copy after <away> ms
    And they run for 6000 ms
    Then one of them is the planner
    And every term was higher than all earlier ones
    And there was no planner for at most <vacant> ms

    Examples:
      | case                        | away | vacant |
      | after the copy              | 0    | 3300   |
      | after the copy              | 1500 | 3300   |
      | after a term in the copy    | 0    | 3300   |
      | after a term in the copy    | 1500 | 3300   |
      | before the copy             | 0    | 3300   |
      | before the copy             | 1500 | 3300   |

  Scenario: The planner and the store are lost together
    When one of them has been elected "after the copy"
    And it is lost, and the store is restored from that copy after 300 ms
    And they run for 8000 ms
    Then one of them is the planner
    And every term was higher than all earlier ones

  Scenario Outline: Random mixes of store restores and suspended planners: seed <seed>
    When store restores and suspended planners are mixed by seed <seed> for 60000 ms
    Then one of them is the planner
    And every term was higher than all earlier ones

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |

Feature: Changes are in force in time although open connections go silent while new ones work

  Background:
    Given 6 entries and 4 targets that follow a store

  # Guards against a silent connection that only the end of its own call reveals: all entries wait for changes at the same time, and nobody
  # notices a change before 2.7 s have passed.
  Scenario Outline: A change after <which> connections have gone silent, <age> ms after the last change
    When "<which>" connections go silent <age> ms after a change, and "nothing else happens"
    And the operator changes the configuration, a target registers and another leaves
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

    Examples:
      | which        | age  |
      | all          | 20   |
      | all          | 320  |
      | all          | 600  |
      | all          | 1200 |
      | the store's  | 20   |
      | the store's  | 320  |
      | the store's  | 1200 |
      | half of all  | 320  |

  # Guards against a link that stays silent for good: reports come in on the peer's link, so they say nothing of one's own, and the peer hears
  # nothing from then on. Each such entry counts for nothing there: requests in flight, limits, cooldowns, leaving targets.
  Scenario Outline: Entries hear all others again after <which> connections have gone silent
    When "<which>" connections go silent 320 ms after a change, and "nothing else happens"
    And the entries run for 8000 ms
    Then every entry hears every other one

    Examples:
      | which       |
      | all         |
      | half of all |

  # Guards against silence that is noticed with no time left: a second fault then delays the change beyond three seconds after the silence.
  Scenario Outline: Connections go silent, and <besides>
    When "all" connections go silent <age> ms after a change, and "<besides>"
    And the operator changes the configuration, a target registers and another leaves
    And the entries run for 6000 ms
    Then nothing went back to an older state and every change was in force in time

    Examples:
      | age | besides                                           |
      | 320 | the pools hold older connections                  |
      | 320 | the store takes 240 ms for a call                 |
      | 320 | the store refuses the next two calls              |
      | 320 | the store refuses the next five calls             |
      | 320 | the store's history is compacted                  |
      | 320 | the store is restored without its last 12 changes |
      | 320 | two entries restart                               |
      | 320 | they go silent again 300 ms later                 |
      | 320 | they go silent again 1100 ms later                |
      | 320 | they go silent again 2600 ms later                |
      | 20  | half of the entries cannot reach the store        |

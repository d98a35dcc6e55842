Feature: Orders of a map switch are safe whatever earlier orders without an answer still do

  # Guards against an order of this planner or an earlier one that takes effect under a hold that no longer protects the ranks: passes began on two maps.
  Scenario: Planners decide by reports of any age, are replaced and act on, and their orders take effect at any time
    When planners and their late orders act in any order, seeds 1 to 4000
    Then no pass began on two maps, and no group stands at its end

  # Guards against a late release or a late order to arm that meets a later hold or map of the same planner, or of its successor.
  Scenario Outline: <what>
    Given a planner that knows the group since step 0, and is the first that may hold it: <first>
    And it has ordered "<ordered>"
    When its map 8 is prepared at step <step>, and rank 1 holds "<held>"
    Then it orders "<orders>"

    Examples:
      | what                                                              | first    | ordered                        | step | held    | orders        |
      | Ranks are armed under a hold that was ordered and not released    | yes      | hold 100                       | 99   | 100     | arm 8 100     |
      | No rank is armed under a hold whose release may be in flight      | yes      | hold 100, release 100          | 99   | 100     | release 100   |
      | No rank is armed under the hold of an earlier planner             | yes      |                                | 99   | 100     | release 100   |
      | A hold does not repeat the step of a released one                 | yes      | hold 100, release 100          | 60   | nothing | hold 101      |
      | A hold that would be beyond the longest lead waits                | yes      | hold 100, release 100          | 30   | nothing | nothing       |
      | A map armed for a step is not armed for a later one               | yes      | hold 100, arm 8 at 100         | 120  | nothing | nothing       |
      | A map armed for a step is not armed under another hold            | yes      | hold 90, arm 8 at 90, hold 100 | 99   | 100     | release 100   |
      | A map that may be armed is replaced before a release              | yes      | hold 100, arm 8 at 100         | 89   | 90      | a replacement |
      | A hold waits until it is beyond those of earlier planners         | no       |                                | 59   | nothing | nothing       |
      | A hold is ordered once it is beyond those of earlier planners     | no       |                                | 60   | nothing | hold 70       |
      | The first planner that may hold a group need not wait              | yes      |                                | 5    | nothing | hold 15       |
      | A group that was formed again has no earlier holds                | no       | hold 100, release 100, re-formed | 5    | nothing | hold 15       |

  # Guards against a group that stands for good: some ranks are armed, and one has no such map.
  Scenario: No rank is armed until all have prepared the map
    Given a planner that knows the group since step 0, and is the first that may hold it: yes
    And it has ordered "hold 100"
    And rank 2 has not prepared its map
    When its map 8 is prepared at step 99, and rank 1 holds "100"
    Then it orders "release 100"

  # Guards against a planner that switches to a map whose only use is to make ranks refuse another.
  Scenario: A map that replaces others is never armed
    Given a planner that knows the group since step 0, and is the first that may hold it: yes
    And it has ordered "hold 100"
    And its map only replaces others
    When its map 8 is prepared at step 99, and rank 1 holds "100"
    Then it orders "release 100"

  # Guards against two planners that order a group at once: each stops as soon as a rank shows it a later term.
  Scenario Outline: A planner of term 5 is superseded as soon as one of its ranks reports a later term: <ranks> report term <term>
    Given a planner of term 5 whose ranks are held, armed for a step
    When <ranks> of its ranks report with term <term>, the others with its own
    Then it has sent orders: <sent>

    Examples:
      | ranks | term | sent |
      | 0     | 6    | yes  |
      | 1     | 6    | no   |

  # Guards against an order of a superseded planner that reaches the engine after those of its successor.
  Scenario Outline: A rank's process refuses the orders of earlier terms: it knows term <known>, the order is of term <term>
    When a rank that knows term <known> receives an order of term <term>
    Then it has sent orders: <sent>

    Examples:
      | known | term | sent |
      | 5     | 5    | yes  |
      | 6     | 5    | no   |

  # Guards against a planner that takes a group for one that no earlier planner has held, although orders of that one may be in flight.
  Scenario Outline: After <claimed> was claimed, era <era>, a planner that claims epoch 5 as <event> may hold: <may>, is the first: <first>, its successor: <next>
    Given a planner in whose store planners have claimed "<claimed>", era <era>
    When it claims epoch 5, as <event>
    Then it may hold the group in epoch 5: <may>, and is the first: <first>
    And the next planner is the first in epoch 5: <next>
    And the next planner is the first in epoch 4: <former>

    Examples:
      | claimed    | era | event                  | may | first | next | former |
      | nothing    | 0   | all is well            | yes | yes   | no   | yes    |
      | epochs 4   | 0   | all is well            | yes | yes   | no   | no     |
      | epochs 4,5 | 0   | all is well            | yes | no    | no   | no     |
      | epochs 5,6 | 0   | all is well            | yes | no    | no   | yes    |
      | nothing    | 1   | all is well            | yes | no    | no   | yes    |
      | oddly      | 0   | all is well            | yes | no    | no   | yes    |
      | epochs 4   | 0   | the answer is lost     | yes | yes   | no   | no     |
      | epochs 4   | 0   | a later term has begun | no  | yes   | yes  | no     |
      | epochs 4   | 0   | the store is away      | no  | no    | yes  | no     |

  # Guards against a claim that is lost to an earlier one, which is carried out late.
  Scenario: A claim without an answer that is carried out late does not replace the next one
    Given a planner in whose store planners have claimed "nothing", era 0
    When its claim of epoch 4 waits, it claims epoch 5, and the claim of epoch 4 is carried out
    Then the next planner is the first in epoch 5: no

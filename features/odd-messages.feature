Feature: Odd messages on links end no process

  # Guards against a process that ends because a step that nothing waits for rejects: a decision, a read, an order.
  Scenario Outline: A planner outlives odd reports: seed <seed>
    Given a planner of a group
    When a rank sends it 300 odd reports, seed <seed>
    Then it has logged what failed, and goes on

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Guards against a process that ends because of a message that satisfies the schema, or does not.
  Scenario Outline: A process outlives odd messages of a peer that knows the link key: <process>, seed <seed>
    Given a running <process>
    When a peer that knows its link key sends it 800 odd messages, seed <seed>
    Then it still answers on a new link

    Examples:
      | process          | seed |
      | forwarding entry | 1    |
      | forwarding entry | 2    |
      | entry            | 1    |
      | entry            | 2    |
      | rank 0           | 1    |
      | rank 0           | 2    |

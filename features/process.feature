Feature: The binaries are ordinary processes

  Scenario Outline: Exit codes
    When "wardswitch-target" is run with "<words>"
    Then it exits with <code> and says "<text>"

    Examples:
      | words                                 | code | text     |
      | --check-settings examples/target.toml | 0    | ok       |
      | examples/entry.toml                   | 78   | httpPort |
      | --nonsense examples/target.toml       | 2    | usage    |

  Scenario: SIGTERM is a planned stop
    When "wardswitch-target" runs and is sent SIGTERM
    Then it exits with 0 and says "leaving, nothing new is taken"

Feature: Exit codes and signals of the binaries

  Scenario Outline: Exit codes
    When "wardswitch-target" is run with "<arguments>"
    Then it exits with <code> and prints "<text>"

    Examples:
      | arguments                             | code | text     |
      | --check-settings examples/target.toml | 0    | ok       |
      | examples/entry.toml                   | 78   | httpPort |
      | --nonsense examples/target.toml       | 2    | usage    |

  Scenario: SIGTERM is a planned stop
    When "wardswitch-target" runs and is sent SIGTERM
    Then it exits with 0 and prints "leaving: no new requests are accepted"

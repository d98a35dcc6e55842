Feature: Pages and programs agree

  Scenario: Pages written from schemas and figures are up to date
    Then every page written by "npm run docs" is as it would be written now

  Scenario Outline: The example settings are accepted by their program
    When "<program>" checks "<file>"
    Then the settings are accepted

    Examples:
      | program          | file                 |
      | wardswitch-entry | examples/entry.toml  |
      | wardswitch-target | examples/target.toml |
      | forwarding wardswitch-entry | examples/forward-entry.toml |
      | wardswitch-rank | examples/rank.toml |

  Scenario Outline: Settings that cannot be used are refused with file, key and expectation
    Given example settings of "<program>" with '<line>' in place of '<old>'
    When they are read
    Then the problem names the file, "<key>" and "<expectation>"

    Examples:
      | program           | old             | line               | key       | expectation     |
      | wardswitch-entry  | httpPort = 8080 | httpPort = 80800   | httpPort  | 65535           |
      | wardswitch-entry  | httpPort = 8080 | httpport = 8080    | httpport  | unknown         |
      | wardswitch-entry  | httpPort = 8080 | httpPort =         | TOML      | Invalid         |
      | wardswitch-target | kind = "model"  | kind = "modell"    | kind      | model           |
      | forwarding wardswitch-entry | linkPort = 7080 | linkport = 7080    | linkport  | unknown         |
      | forwarding wardswitch-entry | address = "127.0.0.1:8081" | address = "here" | ready.address | IP number and port |
      | wardswitch-rank   | service = "stone-drafts" | service = "" | service | >=1 characters |

  Scenario: A scenario may be known to fail only with a cause and an issue
    Given a list of known failures that says "features/a.feature: A | a cause | 7"
    Then "features/a.feature: A" is known to fail
    Given a list of known failures that says "features/a.feature: A"
    Then reading it names line 1

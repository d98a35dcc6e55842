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

  # Guards against a process that a signal ends while it starts, with the requests that it has accepted by then.
  Scenario Outline: <signal> during the start: <program> <moment>
    When "<program>" is started and is sent <signal> <moment>
    Then it <reaction>

    Examples:
      | program               | signal          | moment                   | reaction                       |
      | bin/wardswitch-entry  | SIGHUP          | before it reads settings | goes on and logs the signal    |
      | bin/wardswitch-entry  | SIGHUP          | while it reads settings  | goes on and logs the signal    |
      | bin/wardswitch-entry  | SIGTERM         | while it reads settings  | stops as planned               |
      | bin/wardswitch-entry  | SIGTERM         | as soon as it listens    | stops as planned               |
      | bin/wardswitch-target | SIGHUP          | while it reads settings  | goes on and logs the signal    |
      | bin/wardswitch-target | SIGTERM         | before it reads settings | stops as planned               |
      | bin/wardswitch-target | SIGINT          | while it reads settings  | stops as planned               |
      | bin/wardswitch-target | SIGTERM         | as soon as it listens    | stops as planned               |
      | forwarding entry      | SIGHUP          | before it reads settings | goes on and logs the signal    |
      | forwarding entry      | SIGHUP          | while it reads settings  | goes on and logs the signal    |
      | forwarding entry      | SIGHUP          | as soon as it listens    | goes on and logs the signal    |
      | forwarding entry      | SIGTERM         | while it reads settings  | stops as planned               |
      | forwarding entry      | SIGTERM         | as soon as it listens    | stops as planned               |
      | forwarding entry      | SIGTERM+SIGINT  | while it reads settings  | ends at once, with exit code 1 |
      | forwarding entry      | SIGTERM+SIGTERM | while it reads settings  | stops as planned               |
      | rank process          | SIGHUP          | before it reads settings | goes on and logs the signal    |
      | rank process          | SIGTERM         | while it reads settings  | stops as planned               |
      | rank process          | SIGTERM         | as soon as it listens    | stops as planned               |

  # Guards against one error outside of requests, in whatever part, that ends a process with all requests that it has accepted.
  Scenario Outline: An error that nothing handles stops a process as planned: <manner>
    Given an entry process at which a caller reads a stream
    When an error is <manner> that nothing handles
    Then the stream is whole, and the process ends with exit code 70

    Examples:
      | manner   |
      | thrown   |
      | rejected |

  # Guards against a first signal that is taken for a second one, and cuts the answers of a process that an error has begun to stop.
  Scenario: A process that stops after an error is told to stop
    Given an entry process at which a caller reads a stream
    When an error is thrown that nothing handles, and SIGTERM follows
    Then the stream is whole, and the process ends with exit code 70

  # Guards against a second SIGTERM, as platforms and operators may send, that cuts all answers of a planned stop.
  Scenario: A process that is stopping is told to stop again
    Given an entry process at which a caller reads a stream
    When the process is sent SIGTERM, and SIGTERM again during its stop
    Then the stream is whole, and the process has stopped as planned

  # Guards against a path on the ready or metrics address that ends the process.
  Scenario Outline: An admin page that cannot be served is answered with an error: <path>
    Given an admin server
    When it is asked for "<path>"
    Then it answers <status> with "<body>"

    Examples:
      | path                 | status | body                       |
      | /status/%E0%A4%A     | 400    | not valid percent-encoding |
      | /status/%            | 400    | not valid percent-encoding |
      | /status/%00%7F       | 200    | argument                   |
      | /broken              | 500    | internal error             |
      | /broken/a            | 500    | internal error             |
      | /metrics             | 500    | internal error             |
      | /livez?%E0%A4%A      | 200    | ok                         |
      | //                   | 404    |                            |
      | /%E0%A4%A            | 404    |                            |
      | http://[/            | 404    |                            |

Feature: Operators search the logs of several processes for a request

  Background:
    Given the log
      | at    | source  | part    | message                                                                     |
      | 1000  | front-1 | view    | view: store does not answer: read ECONNRESET; going on with revision 60     |
      | 1500  | front-2 | view    | view: store answers again after 900 ms                                      |
      | 2000  | front-1 | request | request: service desk is down: none of its streams goes on                  |
      | 2200  | front-1 | request | request: 11aa draft desk: 503 not-run: the service's group is down          |
      | 2300  | front-1 | request | request: 22bb draft desk: 200 after 900 ms; i-7: lost; streamed by i-8       |
      | 9000  | front-2 | request | request: 11aa draft desk: 200 after 400 ms; streamed by i-7                 |

  Scenario Outline: A search shows the matching lines: <words>
    When an operator runs "wardswitch log <words>" on the log
    Then the lines at <times> are shown

    Examples:
      | words               | times            |
      | 11aa                | 2200, 9000       |
      | 11aa --context 1500 | 1000, 2000, 2200, 9000 |
      | i-7                 | 2300, 9000       |
      | --part view         | 1000, 1500       |
      | 11aa 200            | 9000             |

  Scenario Outline: A search without matches or with invalid options fails: <words>
    When an operator runs "wardswitch log <words>" on the log
    Then the command fails with the message "<text>"

    Examples:
      | words               | text                                   |
      | 33cc                | nothing found in 6 lines               |
      | 11aa --context long | expected a whole number of milliseconds |

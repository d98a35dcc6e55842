Feature: The adapter translates between the users' platform and the product

  Scenario: A list is read in several pages, and a change in between is read as a change
    Given a store with 5 keys
    When the keys are listed while one of them changes after the first page
    Then all 5 keys are listed as of the first page
    And the next wait returns the change

  Scenario: A removal and a deleted history are distinguished
    Given a store with 5 keys
    When a key is removed
    Then a wait returns the removal
    When the store has deleted its change history
    Then a wait reports that the history is gone

  Scenario Outline: A write to a store that is <fault> reports whether it may have taken effect
    Given a store with 5 keys
    And the store is <fault>
    When a key is written under the condition that it is absent
    Then the write has failed and "<written>" says whether it may have taken effect

    Examples:
      | fault   | written |
      | hanging | unknown |
      | losing  | unknown |
      | busy    | no      |

  Scenario: A condition that does not hold writes nothing
    Given a store with 5 keys
    When a key is written under a condition that does not hold
    Then nothing was written

  Scenario: A lease that has ended cannot be renewed
    Given a store with 5 keys
    When a lease ends
    Then renewing it fails

  Scenario Outline: The era of the store is read from its answers: <header>
    Given a store with 5 keys
    When its answers say that it is in era "<header>"
    Then the results of a list, a wait and a write have era <era>

    Examples:
      | header | era |
      | none   | 0   |
      | 0      | 0   |
      | 7      | 7   |
      | 007    | 7   |

  Scenario Outline: An invalid era is reported as an error: <header>
    Given a store with 5 keys
    When its answers say that it is in era "<header>"
    Then a list fails with an error that names "store-era"

    Examples:
      | header               |
      | -1                   |
      | 1.5                  |
      | soon                 |
      | 3, 3                 |
      | 99999999999999999999 |
      | 0x10                 |
      | 1e3                  |

  # Guards against processes that end, or never read the store, because of a key that is no text at the end of a page.
  Scenario: All pages of a list are read beside a key with half of a character
    Given a store with 5 keys
    And a key that ends a page with half of a character
    When all keys are listed
    Then all 6 keys are listed

  Scenario: A list whose pages are of two eras fails
    Given a store with 5 keys
    When the keys are listed while the store goes from era "3" to "4" after the first page
    Then the list has failed with an error that names "era 3 to 4"

  # Guards against a wait that the store never answers, which kept a process in the earlier era for up to twelve seconds.
  Scenario: A wait in an earlier era ends as soon as another call reports a new one
    Given a store with 5 keys
    When its answers say that it is in era "3"
    And a wait is never answered, and then another call reports era "4"
    Then the wait has ended in era 4, and its history is gone

  # Guards against a process that ends because a timer is given a fraction of a millisecond.
  Scenario: A wait may have any length
    Given a store with 5 keys
    Then a wait of 73.4889 ms after revision 5 returns no change

  # Guards against a pool of old connections that a caller tries one after the other, each until its call times out.
  Scenario: After a call without an answer, later calls use new connections
    Given a store with 5 keys
    When 3 calls are made at the same time, and then all open connections go silent
    Then the first call after that fails, and the next one succeeds

  Scenario: The operator's configuration is translated
    Given a store with the operator's configuration
    Then its routes, services, organisations and limits are read as the product's configuration
    When the operator's configuration has a route without a kind
    Then reading it fails with an error that names "routes.0.kind"

  Scenario: Workers' registrations are read as targets, and an invalid one is reported
    Given a store with a ready, a draining and an invalid registration
    Then a target and a leaving target are read, and the invalid one is reported

  Scenario Outline: An invalid registration is ignored without affecting the others: <field> is <value>
    Given a store with a registration whose <field> is '<value>', and a valid one
    Then only the valid one is read, and the other is reported

    Examples:
      | field      | value               |
      | service    | 7                   |
      | service    | missing             |
      | address    | "10.0.0.1:99999"    |
      | address    | "10.0.1:80"         |
      | address    | "999.1.1.1:80"      |
      | address    | "0127.0.0.1:80"     |
      | address    | ["10.0.0.1:80"]     |
      | zone       | missing             |
      | version    | null                |
      | slots      | "8"                 |
      | slots      | 0                   |
      | state      | "asleep"            |
      | state      | missing             |
      | warm-up    | {}                  |
      | sequence   | 1.5                 |
      | born       | "1792771280159"     |
      | born       | 1.5                 |
      | whole      | not to be read      |

  # Guards against requests that cannot be sent to a target, since its id is no value of a header.
  Scenario Outline: A registration under an invalid key is ignored without affecting the others: <key>
    Given a store with a registration under the key "<key>", and a valid one
    Then only the valid one is read, and the other is reported

    Examples:
      | key              |
      | other\\r\\nx: y    |
      | other\\u0000      |
      | other\\ud83d\\ude00 |
      | other a          |

  Scenario: A worker that can restart under its id publishes its start time
    Given a store with a registration whose born is '1792771280159', and a valid one
    Then both are read, and one was started at 1792771280159

  Scenario: A worker's report is translated to a rank's report
    Given a worker that reports a held group
    Then the rank's report has the same values in the product's format
    And its counts are read by layer

  Scenario Outline: A worker's answer <status> to an order is translated
    Given a worker that answers orders with <status>
    Then an order to it is <outcome>

    Examples:
      | status | outcome |
      | 200    | taken   |
      | 202    | taken   |
      | 409    | refused |
      | 500    | unknown |

  Scenario: Answers are classified by their headers
    Then a refusal, a refusal with its group, a misdirected request and a signed answer are distinguished
    And neither a caller's key nor the platform's own headers in its request are passed on

  Scenario Outline: A worker's cooldown is read from <status> with Retry-After <value>
    Then a worker that answers <status> with Retry-After "<value>" asks for <cooldown>

    Examples:
      | status | value                            | cooldown    |
      | 503    | 3                                | 3000 ms     |
      | 503    | 0.35                             | 350 ms      |
      | 503    | 0                                | 0 ms        |
      | 429    | 2                                | 2000 ms     |
      | 503    | 1, 3                             | 3000 ms     |
      | 503    | 3, soon                          | 3000 ms     |
      | 503    | Thu, 03 Dec 2026 10:00:04 GMT    | 4000 ms     |
      | 503    | Thu, 03 Dec 2026 09:00:00 GMT, 2 | 2000 ms     |
      | 503    | 99999999999999999999             | 86400000 ms |
      | 503    | soon                             | no cooldown |
      | 503    | -3                               | no cooldown |
      | 503    | 1e3                              | no cooldown |
      | 503    | 3 s                              | no cooldown |
      | 200    | 3                                | no cooldown |

  Scenario: A worker may announce in any answer that it is about to leave
    Then a worker that answers 200 with leaving "1" is about to leave
    And a worker that answers 503 with leaving "1" is about to leave
    But a worker that answers 200 with leaving "0" is not about to leave

  Scenario: The platform's names are used in its folder only
    Then no source outside of it contains a name of the platform's wire format

  # Guards against a header that cannot be read, or a very long one, hiding a part or taking memory without bound.
  Scenario Outline: The shared parts of a prompt are read from its header: <header>
    When a request bears the prompt "<header>"
    Then the shared parts of its prompt are "<parts>"

    Examples:
      | header                       | parts            |
      |                              |                  |
      | 5c1e07a2:800                 |                  |
      | 5c1e07a2:800,91bd3f06:410    | 5c1e07a2         |
      | 5C1E:800, 91bd:410 ,e4:250   | 5c1e 91bd        |
      | aa:1,aa:1,bb:2               | aa               |
      | aa:1,bb:2,aa:1               | aa bb            |
      | ,,aa:1,,bb:2                 | aa               |
      | aa,bb:x,:5,cc:1:2,dd         | aa bb cc         |
      | no list                      |                  |
      | one two:1,zz:1               | 7b48e40eb685ec50 |

  Scenario: Thousands of parts and long ids are bounded
    When a request bears a prompt of 5000 parts with ids of 500 characters
    Then at most 256 parts of at most 32 characters are considered

  # Guards against an entry that does not start, or stops after milliseconds, since a bound is a fraction of a second.
  Scenario Outline: The settings of an entry are rendered from bounds in seconds: <grace> and <window>
    When the settings of an entry are rendered with a grace period of <grace> s and a budget window of <window> s
    Then it has a grace period of <graceMs> ms and a budget window of <windowMs> ms

    Examples:
      | grace     | window | graceMs   | windowMs |
      | 8         | 10     | 8000      | 10000    |
      | 7.5       | 2.5    | 7500      | 2500     |
      | 8.0       | 0.75   | 8000      | 750      |
      | 6.0625    | 1.3333 | 6062.5    | 1333.3   |
      | 6.1234567 | 3      | 6123.4567 | 3000     |

Feature: The adapter translates the users' platform, and only translates

  Scenario: A list is read over several pages, and what changes meanwhile is read as a change
    Given a store with 5 keys
    When the keys are listed while one of them changes after the first page
    Then all 5 keys are listed as of the first page
    And the change follows when it is waited for

  Scenario: A removal and a forgotten history are told apart
    Given a store with 5 keys
    When a key is removed
    Then a wait tells of the removal
    When the store has forgotten its history
    Then a wait tells that the history is gone

  Scenario Outline: A write whose store is <fault> is not taken for done or undone without proof
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

  Scenario: A lease that has ended cannot be kept
    Given a store with 5 keys
    When a lease ends
    Then keeping it says so

  Scenario Outline: The era of the store is read from its answers: <header>
    Given a store with 5 keys
    When its answers say that it is in era "<header>"
    Then a list and a wait are of era <era>, and so is what is written

    Examples:
      | header | era |
      | none   | 0   |
      | 0      | 0   |
      | 7      | 7   |
      | 007    | 7   |

  Scenario Outline: An era that cannot be read is an error that says so: <header>
    Given a store with 5 keys
    When its answers say that it is in era "<header>"
    Then a list fails and names "store-era"

    Examples:
      | header               |
      | -1                   |
      | 1.5                  |
      | soon                 |
      | 3, 3                 |
      | 99999999999999999999 |

  Scenario: A list over two eras is not taken for one
    Given a store with 5 keys
    When the keys are listed while the store goes from era "3" to "4" after the first page
    Then the list has failed and names "era 3 to 4"

  # A wait that the store never answers kept a process in the former era for up to twelve seconds.
  Scenario: A wait in a former era ends as soon as another call tells of a new one
    Given a store with 5 keys
    When its answers say that it is in era "3"
    And a wait is never answered, and then another call tells of era "4"
    Then the wait has ended in era 4, and its history is gone

  Scenario: The operator's configuration becomes the product's
    Given a store with the operator's configuration
    Then its routes, services, organisations and limits are read in the product's words
    When the operator's configuration has a route without a kind
    Then reading it names "routes.0.kind"

  Scenario: Workers' registrations become targets, and one that cannot be used is named
    Given a store with a ready, a draining and a broken registration
    Then a target and a leaving target are read, and the broken one is named

  Scenario Outline: A registration that another writer has spoilt names no worker, and the others hold: <field> is <value>
    Given a store with a registration whose <field> is '<value>', beside a sound one
    Then only the sound one is read, and the other is named

    Examples:
      | field      | value               |
      | service    | 7                   |
      | service    | missing             |
      | address    | "10.0.0.1:99999"    |
      | address    | "10.0.1:80"         |
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

  Scenario: A worker that starts again under its id says so
    Given a store with a registration whose born is '1792771280159', beside a sound one
    Then both are read, and one was born at 1792771280159

  Scenario: A worker's report becomes a rank's
    Given a worker that reports a held group
    Then the rank's report says so in the product's words
    And its counts are read by layer

  Scenario Outline: A worker's answer <status> to an order is understood
    Given a worker that answers orders with <status>
    Then an order to it is <outcome>

    Examples:
      | status | outcome |
      | 200    | taken   |
      | 202    | taken   |
      | 409    | refused |
      | 500    | unknown |

  Scenario: Answers are read by their headers
    Then a refusal, a refusal with its group, a misdirected request and a signed answer are told apart
    And neither a caller's key nor its own marks for a target are passed on

  Scenario Outline: A worker's wish for rest is read from <status> with Retry-After <value>
    Then a worker that answers <status> with Retry-After "<value>" asks for <rest>

    Examples:
      | status | value                             | rest     |
      | 503    | 3                                 | 3000 ms  |
      | 503    | 0.35                              | 350 ms   |
      | 503    | 0                                 | 0 ms     |
      | 429    | 2                                 | 2000 ms  |
      | 503    | 1, 3                              | 3000 ms  |
      | 503    | 3, soon                           | 3000 ms  |
      | 503    | Thu, 03 Dec 2026 10:00:04 GMT     | 4000 ms  |
      | 503    | Thu, 03 Dec 2026 09:00:00 GMT, 2  | 2000 ms  |
      | 503    | 99999999999999999999              | 86400000 ms |
      | 503    | soon                              | no rest  |
      | 503    | -3                                | no rest  |
      | 503    | 1e3                               | no rest  |
      | 503    | 3 s                               | no rest  |
      | 200    | 3                                 | no rest  |

  Scenario: A worker that is about to leave says so in any answer
    Then a worker that answers 200 with leaving "1" is about to leave
    And a worker that answers 503 with leaving "1" is about to leave
    But a worker that answers 200 with leaving "0" is not about to leave

  Scenario: The platform's names stay in its folder
    Then no source outside of it holds a name of the platform's wire

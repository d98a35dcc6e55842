Feature: A request that an entry has accepted ends with an answer

  # Guards against a connection that is closed without an answer because something on the request's way throws.
  Scenario Outline: An error that is thrown while an entry <action> ends neither the connection nor the process
    Given an entry before 2 targets that throws when it <action>
    When a caller writes "GET /read/1, GET /read/2, GET /read/3" one after another
    Then it gets 3 whole answers with status <status>, and the connection is open

    Examples:
      | action                         | status |
      | makes the headers for target-1 | 200    |
      | reads the answers of target-1  | 200    |

  # Guards against an entry that ends with an unhandled error, and all connections of its callers with it.
  Scenario: An error that is thrown while an entry reads the headers of a request is answered
    Given an entry before 2 targets that throws when it reads the headers of a request
    When a caller writes "GET /read/1" without waiting
    Then it gets 1 whole answer with status 500
    When another caller writes "GET /read/2"
    Then it gets 1 whole answer with status 500

  # Guards against a registration of an invalid address, which closed the connections of callers for as long as it stood.
  Scenario Outline: A registration of the address <address> is not used
    Given an entry before 1 target
    And a registration of the address "<address>"
    When a caller writes "GET /read/1, GET /read/2, GET /read/3, GET /read/4" one after another
    Then it gets 4 whole answers with status 200, and the connection is open

    Examples:
      | address    |
      | 999.1.1.1  |
      | 1.2.3      |
      | 0127.0.0.1 |
      | a b        |
      | [::1       |

  # Guards against targets being taken for unreachable because a caller's request cannot be sent to any of them.
  Scenario: A request that cannot be sent to any target is refused, and the next one is served
    Given an entry before 1 target
    When a caller writes a request with two hosts
    Then it gets 1 whole answer with status 400
    When another caller writes "GET /read/1"
    Then it gets 1 whole answer with status 200, and the connection is open

  # Guards against a planned stop that closes a connection after one answer though a later request on it is running.
  Scenario Outline: A planned stop answers the requests that a caller has written ahead: <requests>
    Given an entry before 1 target
    And the next 3 answers of target 1 wait
    When a caller writes "<requests>" without waiting
    And the entry is told to stop once the first request runs
    And the waiting answers go on, one after another
    Then it gets <count> whole answers with status 200, and the connection is closed
    And the entry has stopped

    Examples:
      | requests                                          | count |
      | GET /stream/1, GET /stream/2                      | 2     |
      | POST /release/1, POST /release/2                  | 2     |
      | GET /stream/1, POST /release/2, GET /stream/3     | 3     |

  # Guards against a planned stop that counts an answer as given before its caller has read it.
  Scenario Outline: A planned stop waits until a caller has read a large answer: <kind>
    Given an entry before 1 target
    And the next answer of target 1 is large
    When a caller that reads nothing yet writes "<kind>"
    And the entry is told to stop once the answer has reached it
    And the entry accepts no more connections
    And the caller reads on
    Then it gets 1 whole answer with status 200
    And the entry has stopped

    Examples:
      | kind            |
      | GET /read/1     |
      | POST /release/1 |

  # Guards against a running request being answered for, or cut by, what follows it on its connection.
  Scenario Outline: The answer to a running request is not affected by <bytes> after it
    Given an entry before 1 target
    And the header timeout is 200 ms
    And the next 1 answers of target 1 wait
    When a caller writes "POST /release/1" without waiting
    And it writes <bytes> while the request runs
    And the header timeout has passed
    And the waiting answers go on, one after another
    Then it gets 1 whole answer with status 200, and the connection is closed

    Examples:
      | bytes               |
      | half of a head      |
      | bytes of no request |

  # Guards against requests that run although an earlier answer on their connection may be cut.
  Scenario: A request written ahead reaches no target before the answer to the earlier one has been written
    Given an entry before 1 target
    And the next 1 answers of target 1 wait
    When a caller writes "GET /stream/1, POST /release/2" without waiting
    And the caller disconnects once the first request runs
    And another caller writes "GET /read/3"
    Then it gets 1 whole answer with status 200, and the connection is open
    And targets have run "GET /stream/1, GET /read/3"

  # Guards against work for callers who have left: until something is written twice, a close cannot be told from a half-close.
  Scenario: A caller who half-closes its connection while its request runs counts as gone
    Given an entry before 1 target
    And the next 1 answers of target 1 wait
    When a caller writes "GET /read/1" without waiting
    And the caller half-closes its connection once the first request runs
    Then it gets 0 whole answers with status 200, and the connection is closed

  # Guards against a connection that is closed without an answer to a method that is not served.
  Scenario: A request to open a tunnel is refused with an answer
    Given an entry before 1 target
    When a caller writes "CONNECT desk.example:80" without waiting
    Then it gets 1 whole answer with status 405

  # Guards against a refusal that is lost with its connection while its caller still sends the body.
  Scenario: A caller that sends its body after it has been refused gets the whole refusal
    Given an entry before 1 target
    When a caller with an unknown key writes a request with a body of 3000000 bytes and reads only then
    Then it gets 1 whole answer with status 401

  # Guards against a request without an answer at its route's timeout because its body is still arriving.
  Scenario Outline: A request whose body has not arrived at its route's timeout is answered then: <body>
    Given an entry before 1 target
    When a caller writes "POST /short/1" with <body>
    Then it gets 1 whole answer with status 408
    And no target has run anything

    Examples:
      | body             |
      | half of its body |
      | no body          |

  # Guards against running a request that arrives while its connection closes, so that its caller gets no answer.
  Scenario: A request that arrives after its connection has begun to close is not served
    Given a connection of a caller that has begun to close
    When a request arrives on it
    Then the request is not served

  # Guards against a request that arrives in time and is answered by a reset, since the process is busy until the idle timeout has passed.
  Scenario: A request that arrives before the idle timeout is served though the entry reads it later
    Given an entry before 1 target
    And the idle timeout is 200 ms
    When a caller writes "GET /read/1" one after another
    And it writes "GET /read/2", and the process is busy for 1500 ms
    Then it gets 2 whole answers with status 200, and the connection is open

  Scenario: A connection that carries nothing is closed at the idle timeout
    Given an entry before 1 target
    And the idle timeout is 200 ms
    When a caller writes "GET /read/1" one after another
    Then it gets 1 whole answer with status 200, and the connection is closed

Feature: What follows a request on its connection does not take its answer away

  # Guards against a stream that stands still, and is cut at its timeout, because its connection carries a tunnel request behind it.
  Scenario: A stream that its caller reads slowly goes on though a tunnel request follows it
    Given an entry before 1 target
    And the next answer of target 1 is a stream of many events
    When a caller that reads nothing yet writes "GET /stream/1"
    And it asks for a tunnel once the request runs
    And the caller reads on
    Then it gets whole answers with status "200, 405"

  # Guards against targets that work for a caller who has left, since nothing is read from its connection.
  Scenario Outline: A target is told that a caller has left, though <bytes> bytes of a later request wait
    Given an entry before 1 target
    And all routes have a timeout of 20000 ms
    And the next 1 answers of target 1 wait
    When a caller writes "GET /stream/1", and a request with a body of <bytes> bytes after it
    And the caller disconnects once the first request runs
    Then targets have run "GET /stream/1"

    Examples:
      | bytes  |
      | 500    |
      | 300000 |

  # Guards against a planned stop that lasts as long as a caller writes ahead, and cuts its request at the end of the grace period.
  Scenario: A planned stop answers all that has run for a caller who always has a request written ahead
    Given an entry before 1 target
    And the next 5000 answers of target 1 wait
    When the entry is told to stop while a caller always has a request written ahead
    Then each request that has run has a whole answer
    And the entry has stopped

  # Guards against a sound request that is refused for the bytes that arrive together with it.
  Scenario Outline: <method> is served though bytes of no request arrive together with it
    Given an entry before 1 target
    When a caller writes "<method> /release/1" and bytes of no request at once
    Then it gets 1 whole answer with status 200, and the connection is closed

    Examples:
      | method |
      | GET    |
      | POST   |

  # Guards against a request that is dropped with its connection because an earlier one, which has arrived whole, was refused.
  Scenario: A request written ahead is answered though the earlier one is refused before its body is read
    Given an entry before 1 target
    When a caller writes a request with an unknown key and a body, and "GET /read/2", at once
    Then it gets whole answers with status "401, 200"

  # Guards against a planned stop that drops a request for which the caller has not been told that the connection closes.
  Scenario: An entry that stops replies to a request written while it runs an earlier one
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens twice at once on a connection of its own
    And an engine runs the request
    And the entry is told to stop
    And the engines run until the connection carries 1 replies
    And it asks once more while an engine runs the next request
    And the engines run until the connection carries 3 replies
    Then the connection carries 3 whole replies with status 200
    And it is closed

  # Guards against a process that a caller keeps from ending after a planned stop.
  Scenario Outline: An entry that has stopped keeps no connection whose caller has written <bytes>
    Given a running system whose engines advance step by step
    When a caller has written <bytes> on a connection of its own
    And the entry is told to stop
    Then it is closed

    Examples:
      | bytes          |
      | nothing        |
      | half of a head |

  # Guards against a reset that takes an answer from a caller who has not received all of it, since its connection closes while it writes on.
  Scenario Outline: An answer is whole though its connection closes while the caller <writes>
    Given an entry before 1 target
    And the next answer of target 1 is a stream with a large event
    When a caller that reads nothing yet writes "GET /stream/1"
    And the answer has left the target
    And it <writes>
    And the caller reads on
    Then it gets whole answers with status "<statuses>"

    Examples:
      | writes                                                    | statuses |
      | writes the next request after the entry has begun to stop | 200      |
      | writes a large body for a request that is refused         | 200, 401 |

  # Guards against a refusal that is lost to a caller who goes on writing the body.
  Scenario: A caller that reads only after it has written on gets the refusal
    Given an entry before 1 target
    When a caller that reads nothing yet connects
    And it writes a large body for a request that is refused
    And the caller reads on
    Then it gets whole answers with status "401"

  # Guards against a request that runs although its connection is closed by the refusal of the one before it.
  Scenario Outline: A request written after one without a host is answered, <moment>
    Given an entry before 1 target
    And the next <waiting> answers of target 1 wait
    When a caller writes "<earlier>", a request without a host and "POST /release/3" at once
    And the waiting answers go on, one after another
    Then it gets whole answers with status "<statuses>"

    Examples:
      | moment               | waiting | earlier     | statuses      |
      | when nothing is open | 0       |             | 400, 200      |
      | while a request runs | 1       | GET /read/1 | 200, 400, 200 |

  # Guards against running a request from the body of another one: what arrives with a request for another protocol is lost, and the rest is not.
  Scenario: Nothing is run that follows a request for another protocol at once
    Given an entry before 1 target
    When a caller writes a request for another protocol, and half of a request whose body is a request
    And it writes the rest
    Then targets have run "GET /read/1, GET /read/other"
    And it gets 1 whole answer with status 200, and the connection is closed

  # Guards against a new connection for each request of a caller that offers another protocol with each.
  Scenario: A connection stays open after a request for another protocol that nothing follows
    Given an entry before 1 target
    When a caller writes a request for another protocol
    Then it gets 1 whole answer with status 200, and the connection is open

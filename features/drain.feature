Feature: A leaving target accepts no new requests, and a planned stop interrupts none

  Scenario: A stream runs to its end while its target stops
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And the target that runs it is told to stop
    And the engines run 10 steps
    Then the reply has status 200
    And the reply is a complete stream of 6 tokens about "granite"
    And that target has stopped by itself

  Scenario: The platform is unavailable during a planned stop
    Given a running system whose engines advance step by step
    And the platform is down
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And the target that runs it is told to stop
    And the engines run 10 steps
    Then the reply is a complete stream of 6 tokens about "granite"
    And that target has stopped by itself

  Scenario: The link is lost during a planned stop and reconnects for the rest of the answer
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And the target that runs it is told to stop
    And every link to targets is lost
    And the engines run 10 steps
    Then the reply is a complete stream of 6 tokens about "granite"
    And that target has stopped by itself

  Scenario: Requests keep arriving while one target after another stops
    Given a running system
    When targets "stone-drafts-0" and "stone-drafts-2" stop during 60 requests
    Then all 60 replies have status 200
    And the stopped targets accepted no requests after their stop began

  Scenario: An entry sends to a leaving target before it knows that the target is leaving
    Given an entry linked to a target
    When the target is told to stop
    And the entry sends a request
    Then the call ends as refused for "leaving"
    And the engine has run 0 requests

  Scenario: An entry stops with a stream open
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And an engine runs the request
    And the entry is told to stop
    And the engines run 10 steps
    Then the reply is a complete stream of 6 tokens about "granite"

  Scenario: The engine is freed when the caller disconnects
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 50 tokens about "granite" and disconnects
    Then no engine runs a request

  Scenario: A stream breaks off visibly when its target crashes
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 50 tokens about "granite" as a stream
    And the engines run 3 steps
    And the target that runs it crashes
    Then the reply breaks off visibly

  Scenario: A target crashes before it has answered, and the request may be repeated
    Given a running system that waits 200 ms for a lost link, whose engines advance step by step
    When a caller asks "stone-drafts" for 3 tokens about "granite"
    And an engine runs the request
    And the target that runs it crashes
    And the engines run 60 steps
    Then the reply has status 200

  # Guards against "not run" said of a request that was lost with its target while it ran.
  Scenario: All targets crash while one of them runs a request that may be repeated
    Given a running system that waits 200 ms for a lost link, whose engines advance step by step
    When a caller asks "stone-drafts" for 3 tokens about "granite"
    And an engine runs the request
    And all targets crash
    Then the reply has status 502
    And the reply says that it is not known whether the request ran

  # Guards against a running request being answered for, or cut by, what follows it on its connection.
  Scenario Outline: The reply to a running request is not affected by <bytes> after it
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens on a connection of its own
    And <bytes> follow while an engine runs the request
    And the engines run 10 steps
    Then the connection carries 1 whole reply with status 200
    And it is closed

    Examples:
      | bytes               |
      | a tunnel request    |
      | bytes of no request |

  # Guards against a planned stop that cuts requests which callers have written ahead.
  Scenario: An entry that is told to stop replies to requests written ahead
    Given a running system whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens twice at once on a connection of its own
    And an engine runs the request
    And the entry is told to stop
    And the engines run until the connection carries 2 replies
    Then the connection carries 2 whole replies with status 200
    And it is closed

  # Guards against requests that are sent on by an entry which ends before them, and cut there with no answer.
  Scenario: A request written ahead at an entry that ends before its deadline is refused in its turn
    Given a running system whose entries stop within 20000 ms, and whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens twice at once on a connection of its own
    And an engine runs the request
    And the entry is told to stop
    And the engines run until the connection carries 2 replies
    Then the connection carries whole replies with status "200, 503"
    And the engines have run 1 request

  # Guards against a connection that closes without an answer as its entry ends before the request that it runs.
  Scenario: An entry that ends before a running request tells its caller that it may have run
    Given a running system whose entries stop within 800 ms, and whose engines advance step by step
    When a caller asks "stone-drafts" for 6 tokens twice at once on a connection of its own
    And an engine runs the request
    And the entry is told to stop
    Then the connection carries whole replies with status "502, 503"
    And the engines have run 1 request

  # Guards against a connection that is closed without an answer to a method that is not served.
  Scenario: A request to open a tunnel is refused with a reply
    Given a running system whose engines advance step by step
    When a caller asks for a tunnel
    Then the connection carries 1 whole reply with status 405

  # Guards against a request that has no answer, and a connection held for good, since its body never arrives.
  Scenario: A request whose body does not arrive is answered at the timeout
    Given a running system with a request timeout of 300 ms
    When a caller asks "stone-drafts" without sending the body
    Then the connection carries 1 whole reply with status 408

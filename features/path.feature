Feature: Requests are routed through an entry to a target, and answers are relayed completely

  Scenario: A model's answer is streamed
    Given a running system
    When a caller asks "stone-drafts" for 5 tokens about "granite" as a stream
    Then the reply has status 200
    And the reply is a complete stream of 5 tokens about "granite"

  Scenario: A model's answer is returned in one piece
    Given a running system
    When a caller asks "stone-drafts" for 3 tokens about "slate"
    Then the reply has status 200
    And the reply is complete and contains "slate#0 slate#1 slate#2 "

  Scenario: A request to a plain service
    Given a running system
    When a caller posts "release 7" to "yard-dispatch" at "/tickets?yard=3"
    Then the reply has status 200
    And the reply is complete and contains "/tickets?yard=3"

  # Guards against a target process that waits for an acknowledgement which its entry sends only with more parts of the answer.
  Scenario: An answer that is larger than what is sent ahead arrives whole
    Given a running system
    When a caller posts 900000 bytes to "yard-dispatch", which echoes them
    Then the reply has status 200
    And the reply has more than 900000 bytes

  Scenario Outline: A request that cannot be served is reported as not run
    Given a running system
    When a caller sends <method> "<path>" with token "<token>" and body '<body>'
    Then the reply is a problem with status <status>, outcome "not-run" and a detail about "<detail>"

    Examples:
      | method | path                         | token         | body              | status | detail       |
      | POST   | /v1/chat/completions         | wrong         | {}                | 401    | bearer token |
      | POST   | /v1/chat/completions         | granite-token | {"messages": []}  | 400    | model        |
      | POST   | /v1/chat/completions         | granite-token | {                 | 400    | JSON         |
      | POST   | /v1/chat/completions         | granite-token | {"model": "none"} | 404    | none         |
      | GET    | /services/stone-drafts/x     | granite-token |                   | 404    | plain        |
      | GET    | /services/                   | granite-token |                   | 404    | expected     |
      | POST   | /v1/embeddings               | granite-token | {}                | 404    | expected     |

  Scenario: A peer with another key is rejected
    Given a running system
    When a peer with another key connects to a target
    Then the peer is rejected
    And a caller asks "stone-drafts" for 2 tokens about "granite"
    And the reply has status 200

  Scenario Outline: Only the link of a peer that violates the protocol is closed
    Given a running system
    When a peer sends a frame that is "<fault>"
    Then its link is closed
    And a caller asks "stone-drafts" for 2 tokens about "granite"
    And the reply has status 200

    Examples:
      | fault                      |
      | oversized                  |
      | not CBOR                   |
      | of an unknown type         |
      | a request before its hello |

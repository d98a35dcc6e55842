Feature: A request goes through an entry to a target and its answer comes back whole

  Scenario: A streamed answer of a model
    Given a running system
    When a caller asks "stone-drafts" for 5 tokens about "granite" as a stream
    Then the reply has status 200
    And the reply is a whole stream of 5 tokens about "granite"

  Scenario: An answer of a model in one piece
    Given a running system
    When a caller asks "stone-drafts" for 3 tokens about "slate"
    Then the reply has status 200
    And the reply is whole and contains "slate#0 slate#1 slate#2 "

  Scenario: A call of a plain service
    Given a running system
    When a caller posts "release 7" to "yard-dispatch" at "/tickets?yard=3"
    Then the reply has status 200
    And the reply is whole and contains "/tickets?yard=3"

  Scenario Outline: A request that cannot be served says that it did not run
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

  Scenario: A peer without the key is turned away
    Given a running system
    When a peer with another key connects to a target
    Then the peer is turned away
    And a caller asks "stone-drafts" for 2 tokens about "granite"
    And the reply has status 200

  Scenario Outline: A peer that breaks the protocol loses its link and nothing else
    Given a running system
    When a peer sends a frame that is "<fault>"
    Then its link is closed
    And a caller asks "stone-drafts" for 2 tokens about "granite"
    And the reply has status 200

    Examples:
      | fault                      |
      | oversized                  |
      | not CBOR                   |
      | of no known type           |
      | a request before its hello |

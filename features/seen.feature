Feature: Traces, metrics, status and explanations show what the system does

  Scenario: A request exports a span for each hop, in the caller's trace
    Given a running system that exports spans
    When a caller with a trace asks "yard-dispatch" to release ticket "7" with key "k"
    Then the spans "entry, limits, guard, link, target, engine" of that trace are exported

  Scenario: Metrics, status and explanation
    Given a running system
    When entry 1 is asked to release ticket "7" with key "k"
    Then the first caller gets status 200
    And the admin server of entry 1 reports "wardswitch_requests_total{service=\"yard-dispatch\",outcome=\"ok\"} 1"
    And the command "explain" of that request names the target that ran it
    And the command "status" names every entry as ready
    And the command "target list" names every target as serving

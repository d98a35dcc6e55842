Feature: A request hidden in another never reaches a target

  Scenario: Requests with malformed framing from seeds 1 to 150
    Given an entry before 1 target
    When callers send requests with another one in the body, malformed by seeds 1 to 150
    Then the target has run no hidden request, and none with an incomplete body
    And the entry still serves a caller

Feature: A request hidden in another never reaches a target

  Scenario: Requests whose framing is spoilt in seeded ways, seeds 1 to 150
    Given an entry before 1 target
    When callers send requests with another one in the body, spoilt by seeds 1 to 150
    Then the target has run no hidden request, and no body but a whole one
    And the entry still serves a caller

Feature: A write to the store that had no answer and is carried out late replaces nothing that was written since

  # Guards against an entry that is no longer registered for good: its late write belonged to a lease that nobody renews.
  Scenario: An entry stays registered although its first write is carried out after its second
    Given a process whose next write to the store waits without an answer
    When it registers, and again as that had no answer
    And the write is carried out
    And it goes on for 700 seconds
    Then it is registered

  # Guards against the listing of a former epoch, or of a former planner, in place of the present one.
  Scenario: A group's listing of a former epoch does not replace that of the present one
    Given a process whose next write to the store waits without an answer
    When it lists a group of epoch 4, and then of epoch 5
    And the write is carried out
    Then the store lists the group of epoch 5

  # Guards against a request that entries refuse again from their next start on, although a target has answered it.
  Scenario: The record of a request that crashes targets does not return after a target has answered it
    Given a process whose next write to the store waits without an answer
    And the store holds a record of a request that crashes targets
    When it updates the record, and removes it as a target answers the request
    And the write is carried out
    Then the store holds no record of the request

Feature: A view of the store notices soon that the store is back

  Scenario: Calls wait only briefly while the store does not answer
    Given a view of a store that answers
    When its calls go as "answered, lost, lost, answered, answered"
    Then they wait for "2000, 2000, 300, 300, 2000" ms

  Scenario: Calls that were given up on follow each other without a pause
    Given a view of a store that answers
    When its calls go as "answered, lost, lost, lost, lost, lost, lost, answered"
    Then no pause after a lost call is longer than 50 ms

  Scenario: Calls that are refused at once are spaced
    Given a view of a store that answers
    When its calls go as "answered, refused, refused, refused, refused, refused, refused, answered"
    Then the pauses grow from 50 ms to 1000 ms

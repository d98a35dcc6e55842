Feature: A request is reported as not run only when it can never run, and an answer is complete or visibly broken off

  Background:
    Given an entry linked to a target

  Scenario: The link is lost while the request is in flight
    When the link holds messages back
    And the entry sends a request
    And the link is lost and reconnects
    Then the call ends as refused for "unknown-call"
    When the delayed request arrives
    Then the engine has run 0 requests

  Scenario: A cancel arrives before its request
    When the link holds messages back
    And the entry sends a request
    And the entry cancels it
    And the cancel arrives before the request
    Then the call ends as cancelled before it started
    And the engine has run 0 requests

  Scenario: A cancelled request that was running is not reported as not run
    When the entry sends a request
    And the entry cancels it
    Then the call ends as cancelled after it started

  Scenario: The target process is replaced while it answers
    When the entry sends a request
    And the engine writes "a" and "b"
    And the target process is replaced
    Then the call ends as lost after "ab"

  Scenario: The link is lost for longer than calls wait for it
    When the entry sends a request
    And the link is lost for 6 seconds
    Then the call ends as lost after ""

  Scenario: An answer resumes after the link reconnects
    When the entry sends a request
    And the engine writes "a" and "b"
    And the link is lost and reconnects
    And the engine writes "c" and ends
    Then the call ends with the complete answer "abc"

  Scenario: Parts of an answer arrive late, duplicated and out of order
    When the link holds messages back
    And the entry sends a request
    And the request arrives
    And the engine writes the letters of "granite ledge" and ends
    And the parts of the answer arrive duplicated and out of order
    Then the call ends with the complete answer "granite ledge"

  Scenario: An answer to another attempt is ignored
    When the entry sends a request
    And a complete answer to another attempt arrives
    And the engine writes "c" and "d"
    And the engine writes "e" and ends
    Then the call ends with the complete answer "cde"

  Scenario: The entry is suspended between claiming a key and sending, and the claim expires
    When the entry sends a request with key "k" whose claim has expired
    Then the call ends as refused for "expired"
    And the engine has run 0 requests

  Scenario: The request was meant for an earlier incarnation of the target
    When the target process is replaced
    And the entry sends a request with key "k"
    Then the call ends as refused for "incarnation"
    And the engine has run 0 requests

  Scenario: The owner of a key sends its request after another copy has taken the key over
    When a second copy of key "k" asks for the answer of owner "slow"
    Then the second copy is told that the run is "absent"
    When the entry sends a request with key "k" of owner "slow"
    Then the call ends as refused for "cancelled"
    And the engine has run 0 requests

  Scenario: A second copy joins the run of the first
    When the entry sends a request with key "k" of owner "first"
    And a second copy of key "k" asks for the answer of owner "first"
    And the engine writes "a" and "b"
    And the engine writes "c" and ends
    Then the call ends with the complete answer "abc"
    And the second copy receives "abc"
    And the engine has run 1 requests

  Scenario: A key is sent again by another owner
    When the entry sends a request with key "k" of owner "first"
    And the entry sends a request with key "k" of owner "second"
    Then the call ends as refused for "duplicate"
    And the engine has run 1 requests

  Scenario: A refused request stays refused
    When the target is told to stop
    And the entry sends a request with key "k" of owner "first"
    Then the call ends as refused for "leaving"
    When the target is told to start
    And a late copy of that request arrives
    Then the engine has run 0 requests

  Scenario: A target without room for a record does not promise that a request will not run
    Given a target with room for 1 record
    When a second copy of key "a" asks for the answer of owner "one"
    And a second copy of key "b" asks for the answer of owner "two"
    Then the call of the second copy breaks off

Feature: "Not run" is said only when it is proved, and an answer is whole or visibly broken

  Background:
    Given an entry linked to a target

  Scenario: The link is cut with the request still on its way
    When the link holds messages back
    And the entry sends a request
    And the link is cut and comes back
    Then the call ends as refused for "unknown-call"
    When the request arrives after all
    Then the engine has run 0 requests

  Scenario: A cancel overtakes its request
    When the link holds messages back
    And the entry sends a request
    And the entry cancels it
    And the cancel arrives before the request
    Then the call ends as cancelled before it started
    And the engine has run 0 requests

  Scenario: A cancel of a running request does not claim that it did not run
    When the entry sends a request
    And the entry cancels it
    Then the call ends as cancelled after it started

  Scenario: The target process is replaced while it answers
    When the entry sends a request
    And the engine writes "a" and "b"
    And the target process is replaced
    Then the call ends as lost after "ab"

  Scenario: The link stays away for too long
    When the entry sends a request
    And the link is cut and stays away for 6 seconds
    Then the call ends as lost after ""

  Scenario: An answer goes on after the link came back
    When the entry sends a request
    And the engine writes "a" and "b"
    And the link is cut and comes back
    And the engine writes "c" and ends
    Then the call ends whole with "abc"

  Scenario: Parts arrive late, twice and out of order
    When the link holds messages back
    And the entry sends a request
    And the request arrives
    And the engine writes the letters of "granite ledge" and ends
    And the parts of the answer arrive shuffled and twice
    Then the call ends whole with "granite ledge"

  Scenario: An answer to an earlier attempt is not ours
    When the entry sends a request
    And a whole answer to another attempt arrives
    And the engine writes "c" and "d"
    And the engine writes "e" and ends
    Then the call ends whole with "cde"

  Scenario: The entry paused between its claim and sending, and the claim has expired
    When the entry sends a request with key "k" whose claim has expired
    Then the call ends as refused for "expired"
    And the engine has run 0 requests

  Scenario: The request was meant for the process before this one
    When the target process is replaced
    And the entry sends a request with key "k"
    Then the call ends as refused for "incarnation"
    And the engine has run 0 requests

  Scenario: An owner that was paused comes after another took its key over
    When a second copy of key "k" asks for the run of owner "slow"
    Then the second copy learns that it is "absent"
    When the entry sends a request with key "k" of owner "slow"
    Then the call ends as refused for "cancelled"
    And the engine has run 0 requests

  Scenario: A second copy joins the run of the first
    When the entry sends a request with key "k" of owner "first"
    And a second copy of key "k" asks for the run of owner "first"
    And the engine writes "a" and "b"
    And the engine writes "c" and ends
    Then the call ends whole with "abc"
    And the second copy gets "abc"
    And the engine has run 1 requests

  Scenario: The same key comes again in the name of another owner
    When the entry sends a request with key "k" of owner "first"
    And the entry sends a request with key "k" of owner "second"
    Then the call ends as refused for "duplicate"
    And the engine has run 1 requests

  Scenario: What was refused once stays refused
    When the target is told to stop
    And the entry sends a request with key "k" of owner "first"
    Then the call ends as refused for "leaving"
    When the target is told to start
    And a late copy of that request arrives
    Then the engine has run 0 requests

  Scenario: A target without room to remember promises nothing
    Given a target that remembers 1 record
    When a second copy of key "a" asks for the run of owner "one"
    And a second copy of key "b" asks for the run of owner "two"
    Then the second copy learns nothing

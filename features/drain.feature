Feature: A leaving target takes nothing new, and a planned stop cuts nothing off

  Scenario: A stream runs to its end while its target stops
    Given a running system whose engines pace their answers
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And the target that runs it is told to stop
    And the engines run 10 steps
    Then the reply has status 200
    And the reply is a whole stream of 6 tokens about "granite"
    And that target has stopped by itself

  Scenario: The platform is away during a planned stop
    Given a running system whose engines pace their answers
    And the platform is down
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And the target that runs it is told to stop
    And the engines run 10 steps
    Then the reply is a whole stream of 6 tokens about "granite"
    And that target has stopped by itself

  Scenario: The link is lost during a planned stop, and comes back for the rest
    Given a running system whose engines pace their answers
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And the target that runs it is told to stop
    And every link to targets is cut
    And the engines run 10 steps
    Then the reply is a whole stream of 6 tokens about "granite"
    And that target has stopped by itself

  Scenario: A burst while one target after another stops
    Given a running system
    When targets "stone-drafts-0" and "stone-drafts-2" stop during 60 requests
    Then all 60 replies have status 200
    And the stopped targets ran nothing after their stop began

  Scenario: An entry that has not heard sends to a leaving target
    Given an entry linked to a target
    When the target is told to stop
    And the entry sends a request
    Then the call ends as refused for "leaving"
    And the engine has run 0 requests

  Scenario: An entry stops with a stream open
    Given a running system whose engines pace their answers
    When a caller asks "stone-drafts" for 6 tokens about "granite" as a stream
    And a run has begun
    And the entry is told to stop
    And the engines run 10 steps
    Then the reply is a whole stream of 6 tokens about "granite"

  Scenario: A caller that leaves frees the engine
    Given a running system whose engines pace their answers
    When a caller asks "stone-drafts" for 50 tokens about "granite" and leaves
    Then no engine runs anything

  Scenario: A stream whose target dies is visibly broken
    Given a running system whose engines pace their answers
    When a caller asks "stone-drafts" for 50 tokens about "granite" as a stream
    And the engines run 3 steps
    And the target that runs it dies
    Then the reply is visibly broken

  Scenario: A target dies before it answered, and the request may be repeated
    Given a running system that waits 200 ms for a lost link, whose engines pace their answers
    When a caller asks "stone-drafts" for 3 tokens about "granite"
    And a run has begun
    And the target that runs it dies
    And the engines run 60 steps
    Then the reply has status 200

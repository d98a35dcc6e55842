Feature: An accepted change of the table is in force everywhere within seconds and never reverts

  Scenario: A change comes into force everywhere
    Given a running system
    When an operator sets the weight of "granite" to 5
    Then the command prints "accepted" and exits with 0
    And every entry and target knows version 2
    And every entry gives "granite" the weight 5

  Scenario: Two operators change different rows at once
    Given a running system
    And two operators have exported the table
    When the first operator sets the weight of "granite" to 5
    And the second operator sets the weight of "marble" to 6
    Then the command prints "accepted" and exits with 0
    And the platform's table gives "granite" the weight 5 and "marble" the weight 6

  Scenario: Two operators change the same row at once
    Given a running system
    And two operators have exported the table
    When the first operator sets the weight of "granite" to 5
    And the second operator sets the weight of "granite" to 6
    Then the command reports the error "theirs: " and exits with 1
    And the command reports the error "weight=5" and exits with 1
    And the command reports the error "weight=6" and exits with 1
    And the platform's table gives "granite" the weight 5 and "marble" the weight 1

  Scenario: The answer to the write is lost after it took effect
    Given a running system
    And the platform loses the answers to the next writes of pages and of the head
    When an operator sets the weight of "granite" to 5
    Then the command prints "accepted as version 2" and exits with 0
    And every entry and target knows version 2

  Scenario: The platform goes down right after a write whose answer is lost
    Given a running system
    And the platform accepts the next change of the table and goes down before it answers
    When an operator sets the weight of "granite" to 5
    Then the command reports the error "unknown" and exits with 4
    When the platform is up again
    Then looking up that change prints "accepted as version 2" and exits with 0

  Scenario: The platform is down
    Given a running system
    And the platform is down
    When an operator sets the weight of "granite" to 5 from a file
    Then the command reports the error "refused" and exits with 3

  Scenario: The platform is down for an hour: callers are served, and a later change arrives
    Given a running system
    And the platform is down
    When 1 hours pass
    And a caller asks "stone-drafts" for 2 tokens about "granite"
    Then the reply has status 200
    When the platform is up again
    And an operator sets the weight of "granite" to 5
    Then every entry and target knows version 2

  Scenario: The platform is restored from an older copy
    Given a running system
    And a copy of the platform is made
    When an operator sets the weight of "granite" to 5
    Then every entry and target knows version 2
    When the platform is restored from the copy and its watches break
    Then some entry reports "older than version 2 in force"
    And every entry and target knows version 2
    When an operator applies a table based on the restored platform
    Then the command reports the error "version 2 is in force" and exits with 1
    When an operator restores the table
    Then the command prints "restored as version 3" and exits with 0
    And every entry and target knows version 3
    And every entry gives "granite" the weight 5

  Scenario: The watch delivers nothing before it breaks, and the change still arrives
    Given a running system
    And the watches of the platform deliver nothing
    When an operator sets the weight of "granite" to 5
    And the watches of the platform break
    Then every entry and target knows version 2

  Scenario: Only two entries of a zone watch the platform
    Given a running system of 5 entries in one zone
    Then 2 entries watch the platform
    When an operator sets the weight of "granite" to 5
    Then every entry and target knows version 2

  Scenario: An entry that starts while the platform is down gets the table from its peers
    Given a running system
    When an operator sets the weight of "granite" to 5
    Then every entry and target knows version 2
    Given the platform is down
    When another entry starts in "barre-hall"
    Then every entry and target knows version 2

  Scenario: Two newer versions reported at once are both requested
    Given a table controller at version 3
    When one peer reports version 4 and another reports version 5 right after it
    Then the controller requests each of the two versions once

  Scenario: A peer offers an older version, or reports another change with the same version number
    Given a table controller at version 3
    When a peer offers version 2
    And a peer reports version 3 of another change
    Then the controller stays at version 3
    And the controller reports "another version 3"

  Scenario: A watch delivers repeated and older versions and skips some
    Given a table controller that watches the platform
    When the watch delivers versions "5, 3, 5, 7, 6"
    Then versions came into force in the order "5, 7"
    And the controller reports "older than version 7 in force"

  Scenario: The platform takes 5 seconds for each call
    Given a running system
    And the platform takes 5000 ms for an answer
    When a caller asks "stone-drafts" for 2 tokens about "granite"
    Then the reply has status 200
    When the platform answers without delay again
    And an operator sets the weight of "granite" to 6
    Then every entry and target knows version 2

  Scenario: All problems of a file are reported together, and nothing is applied
    Given a running system
    When an operator applies this table:
      """
      service,organisation,group,weight,concurrency,urgency
      *,granite,*,zero,,3
      *,granite,*,1,2.5,9
      """
    Then the command reports the error "table.csv:2, column weight" and exits with 1
    And the command reports the error "table.csv:3, column concurrency" and exits with 1
    And the command reports the error "table.csv:3, column urgency" and exits with 1
    And every entry and target knows version 1

  Scenario: The most specific row applies as a whole
    Given this table:
      """
      service,organisation,group,weight,concurrency
      *,*,*,1,100
      *,granite,*,2,50
      drafts,*,*,3,40
      drafts,granite,*,4,
      drafts,granite,a,5,20
      """
    Then the row for "drafts", "granite", "a" has weight 5
    And the row for "drafts", "granite", "b" has weight 4 and no concurrency
    And the row for "drafts", "marble", "b" has weight 3
    And the row for "other", "granite", "b" has weight 2
    And the row for "other", "marble", "b" has weight 1

  Scenario: Each stored value of a large table is under a megabyte, and a small change writes little
    Given a table of 6700 organisations and 4 services
    Then every stored page is under 1000000 bytes
    And changing one row changes 1 page

  Scenario: A revoked token stops working within seconds
    Given a running system
    When an operator removes "granite" from the table
    Then every entry and target knows version 2
    And a caller asks "stone-drafts" for 2 tokens about "granite"
    And the reply has status 401

Feature: Odd items that another writer leaves in the store do no harm

  # Guards against processes that end, or stop following the store, because of an item that they cannot read.
  Scenario Outline: Entries follow the store beside odd items under <prefix>, and log each once
    Given 2 entries that follow a store with a target
    When another writer leaves odd items under "<prefix>"
    Then a target that registers later is used, and the next configuration is in force
    And each entry has logged each odd item once, in one short line

    Examples:
      | prefix                     |
      | targets/                   |
      | wardswitch/entries/        |
      | wardswitch/groups/desk/    |
      | wardswitch/crashes/        |
      | wardswitch/crashing-parts/ |

  Scenario: Entries keep the configuration in force beside odd ones, and take the next
    Given 2 entries that follow a store with a target
    When another writer replaces the configuration by odd ones, one after the other
    Then a target that registers later is used, and the next configuration is in force
    And each entry has logged each odd configuration once, in one short line

  Scenario: Every request is served beside odd items
    Given 2 entries before 1 target that know each other
    When another writer leaves odd items of all kinds
    Then every request is served until a target that registers later is used

  Scenario Outline: Requests are served with extreme values in a valid configuration: <what>
    Given 2 entries before 1 target that know each other
    When the configuration has <what>
    Then every request is served until a target that registers later is used

    Examples:
      | what                       |
      | a timeout of 1e300 ms      |
      | an objective of 1e300 ms   |
      | weights of 0               |
      | weights of 1e308           |
      | an empty prefix            |
      | 5000 more routes           |
      | a key named __proto__      |
      | limits of 1e15             |
      | 9007199254740991 attempts  |

  # Guards against shares of rate limits, and of retries, for entries that do not exist.
  Scenario: Odd registrations do not count as entries
    Given 2 entries that follow a store with a target
    When another writer leaves odd items under "wardswitch/entries/"
    Then each entry counts 2 registered entries

  # Guards against a group without a planner for good: no process campaigned, since the key had a holder.
  Scenario Outline: A group of ranks follows demand although its planner key holds <value>
    Given a service of a group of 4 ranks
    And its planner key holds "<value>", without a lease
    When 8 seconds pass with a shift of its demand every 2 seconds
    Then each of its groups has changed its map at least 1 times
    And none of its passes began on two maps
    And each rank has logged the odd planner key at most once

    Examples:
      | value                  |
      | nothing                |
      | text that is not JSON  |
      | an IP number too large |
      | a port out of range    |
      | very deep nesting      |
      | line breaks            |
      | very long text         |

  Scenario: Another writer replaces the planner key while the group has a planner
    Given a service of a group of 4 ranks
    And its planner key is replaced by "a port out of range" after 2 seconds
    When 8 seconds pass with a shift of its demand every 2 seconds
    Then a planner has been elected after that
    And none of its passes began on two maps

  # Guards against orders that the planner passes to an entry that does not exist, and a log line for each attempt.
  Scenario: Planners order holds through the entries that are registered properly
    Given a service of a group of 4 ranks
    And another writer leaves odd items among the registrations of its entries
    When 8 seconds pass with a shift of its demand every 2 seconds
    Then every hold was ordered through an entry
    And the planner has logged each odd registration of an entry once

  # Guards against an entry that ends because of a table head that it cannot read, and one that does not read the next.
  Scenario Outline: An entry keeps its table beside a head that is <value>, and takes the next
    Given a table controller that watches the platform
    When the watch delivers versions "5"
    And the watch delivers a head that is "<value>"
    And the watch delivers versions "7"
    Then versions came into force in the order "5, 7"
    And the controller reports "wardswitch/table/head: "

    Examples:
      | value                 |
      | nothing               |
      | text that is not JSON |
      | a prototype           |
      | very deep nesting     |
      | a number too large    |

  Scenario Outline: A peer that offers a head that is <value>, or a page that is, does not change the table
    Given a table controller at version 3
    When a peer offers a head that is "<value>"
    And a peer offers version 4 with a page that is "<value>"
    Then the controller stays at version 3
    And the controller reports "offered table not accepted"

    Examples:
      | value                 |
      | nothing               |
      | text that is not JSON |
      | very deep nesting     |

  # Guards against a list of VMs that no process follows any more because of one VM in it.
  Scenario Outline: The list of VMs is read without a VM whose <field> is <value>
    Given a list of VMs with a sound one and one whose <field> is <value>
    Then the sound VM is listed, and the other is reported with "vms.1"

    Examples:
      | field    | value           |
      | linkPort | 70000           |
      | linkPort | 1e300           |
      | address  | "999.1.1.1"     |
      | state    | {"__proto__":1} |
      | whole    | null            |

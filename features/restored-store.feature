Feature: After the store is restored from an older backup, entries keep newer data and continue to receive changes

  Background:
    Given 6 entries and 4 targets that follow a store

  # Guards against a view that compares only revisions: it ignores every list until the restored store's revisions exceed its own.
  Scenario Outline: Changes after a restore are in force in time: <lost> changes lost, outage of <away> ms
    When the store is restored without its last <lost> changes after an outage of <away> ms
    And the operator changes the configuration, a target registers and another leaves
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time
    And log and metrics of every entry show the new era and an up-to-date view

    Examples:
      | lost | away |
      | 12   | 0    |
      | 12   | 300  |
      | 12   | 1500 |
      | 400  | 0    |
      | 400  | 300  |
      | 400  | 1500 |

  # Without a pause between answers that are of no use, each process made 250 to 340 calls per second.
  Scenario Outline: A restored store is not flooded with calls: <lost> changes lost
    When the store is restored without its last <lost> changes after an outage of <away> ms
    And the entries run for 5000 ms
    Then no entry has made more than 30 calls since

    Examples:
      | lost | away |
      | 12   | 0    |
      | 400  | 1500 |

  # Guards against a lost difference: the restored store's revisions exceed the view's before the watch is answered, so the watch alone
  # does not show what was lost.
  Scenario: Revisions that are assigned again do not hide changes
    When the store loses its last 12 changes after 0 ms, waits stay open, and at once a target leaves and 20 keys are written
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

  Scenario Outline: A store that is restored without reporting an era: <lost> changes lost
    When the store does not report its era
    And the store is restored without its last <lost> changes after an outage of 300 ms
    And the operator changes the configuration, a target registers and another leaves
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

    Examples:
      | lost |
      | 12   |
      | 400  |

  # The backup may lack a single change, which may be written again after a newer one.
  Scenario: An older configuration that is written again after a newer one is ignored
    When the operator changes the configuration twice, and the store is restored without the second change
    And the operator changes the configuration, and then writes the lost version again
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

  Scenario: Values that the backup lacks stay in force until they are written again
    When the operator changes the configuration, a target registers and another leaves
    And the entries run for 1000 ms
    And the store is restored to the state before that after 300 ms, and the lost keys are written again 1500 ms later
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time
    And no entry has stopped using a registered target

  Scenario: Values that are not written again are dropped after a while
    When a target registers that will not register again
    And the store is restored to the state before that after 300 ms, and the lost keys are written again 500 ms later
    And the entries run for 4000 ms
    Then no entry uses that target

  # Guards against two periods of waiting in a row for the same registration, one for the restore and one for the outage before it.
  Scenario: Values that are not written again are dropped in time after a long outage
    When a target registers that will not register again
    And the store is restored to the state before that after 2000 ms, and the lost keys are written again 500 ms later
    And the entries run for 3000 ms
    Then no entry uses that target

  # A new entry can compare the store only with the views of its peers.
  Scenario: An entry that starts after the restore gets the newer configuration from its peers
    When the operator changes the configuration, a target registers and another leaves
    And the entries run for 1000 ms
    And the store is restored to the state before that, and an entry starts before the lost keys are written again
    Then the new entry has served no request with an older configuration
    And it sends nothing to the target that has left
    And nothing went back to an older state and every change was in force in time

  # The peers still use the state from before the restore, which the new entry cannot distinguish from an older one.
  Scenario: A new entry knows the new era before its peers do
    When the operator changes the configuration, a target registers and another leaves
    And the entries run for 1000 ms
    And the store is restored to the state before that, and only a new entry reaches it
    Then the new entry has served no request with an older configuration
    And nothing went back to an older state and every change was in force in time

  Scenario: A new entry does not use a removed target that the backup contains
    When the registration of a target is removed
    And the store is restored to the state before that, and an entry starts before the lost keys are written again
    Then it sends nothing to the target that has left
    And nothing went back to an older state and every change was in force in time

  # A wait that is never answered lasts longer than a change may take to be in force.
  Scenario: The first entry that knows the new era informs the others
    When the waits of all entries but one get no answer any more
    And the store loses its last 12 changes after 0 ms, waits stay open, and at once a target leaves and 3 keys are written
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

  Scenario: An entry that reaches only its peers follows them into the new era
    When one entry cannot reach the store
    And the store is restored without its last 12 changes after an outage of 300 ms
    And the operator changes the configuration, a target registers and another leaves
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

  Scenario: A target that left and was removed is not used again because the backup contains it
    When a target leaves and its registration is removed
    And the store is restored to the state before that after 300 ms, and the lost keys are written again 1500 ms later
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

  Scenario: A target that was removed without notice is not used again because the backup contains it
    When the registration of a target is removed
    And the store is restored to the state before that after 300 ms, and the lost keys are written again 3000 ms later
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

  # Guards against an entry that uses a removed target again: it started after the removal and has no record of it, but its view before the
  # restore did not have the target. The copy's last write could as well be a later one under the same revision.
  Scenario Outline: Entries that started after a target was removed do not use it when a backup contains it: <entries> started, <links> links, <write> write
    When a target whose registration is <write> write of the backup is removed
    And <entries> start again, and their links are <links>
    And the store is restored to the state before that after 0 ms, and the lost keys are written again 1500 ms later
    And the entries run for 5000 ms
    Then none of them has used the removed target
    And nothing went back to an older state and every change was in force in time

    Examples:
      | entries     | links  | write     |
      | one entry   | open   | an early  |
      | one entry   | cut    | an early  |
      | all entries | open   | an early  |
      | all entries | cut    | an early  |
      | one entry   | open   | the last  |
      | one entry   | cut    | the last  |
      | all entries | open   | the last  |

  # Guards against taking a registration for a removed one because its revision is lower than that of the view before.
  Scenario Outline: A target that registers after the restore is used at once by entries that started shortly before: <entries>, links <links> before
    When a target whose registration is an early write of the backup is removed
    And the operator has changed the configuration twice
    And <entries> start again, and their links are <links>
    And the store is restored to the state before that after 0 ms, and a target registers at once
    Then all entries use it within <ms> ms
    And nothing went back to an older state and every change was in force in time

    Examples:
      | entries     | links | ms   |
      | one entry   | open  | 500  |
      | one entry   | cut   | 1500 |
      | all entries | open  | 3000 |

  Scenario: Two restores in a row
    When the operator changes the configuration, a target registers and another leaves
    And the store is restored to the state before that after 300 ms, and the lost keys are written again 400 ms later
    And the operator changes the configuration, a target registers and another leaves
    And the store is restored to the state before that after 0 ms, and the lost keys are written again 400 ms later
    And the entries run for 5000 ms
    Then nothing went back to an older state and every change was in force in time

  # Guards against a registration that is written only once: its loss is noticed after 200 s, or never if another process got its lease id.
  Scenario: Entries that the backup lacks register again, spread over time
    When 6 more entries start
    And the store is restored to the state before that after 300 ms, and the lost keys are written again 500 ms later
    And the entries run for 3000 ms
    Then every entry is registered
    And no more than 10 writes have reached the store within 200 ms

  Scenario Outline: Restores mixed with other faults: seed <seed>
    When restores, changes, restarts, partitions, slow and lost answers are mixed by seed <seed> for 40000 ms
    Then nothing went back to an older state and every change was in force in time
    And no entry has made more than 60 calls in a second

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 9    |
      | 10   |
      | 11   |
      | 12   |
      | 22   |
      | 61   |
      | 66   |
      | 97   |
      | 266  |
      | 544  |
      | 873  |
      | 196  |

  # Guards against registrations that are taken for removed because nobody could write them again: the store was away when their time ended;
  # and against entries that use a removed target from a backup, because it was removed before they started.
  Scenario Outline: Restores and silent connections mixed with other faults: seed <seed>
    When restores, changes, restarts, partitions, slow and lost answers, refused calls and silent connections are mixed by seed <seed> for 40000 ms
    Then nothing went back to an older state and every change was in force in time
    And no entry has made more than 60 calls in a second

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 76   |
      | 382  |
      | 500  |
      | 337  |
      | 3457 |
      | 3949 |
      | 10841 |
      | 10903 |
      | 10991 |
      | 11987 |
      | 12743 |
      | 13094 |
      | 14351 |
      | 12993 |
      | 20428 |
      | 40678 |
      | 60968 |
      | 40602 |

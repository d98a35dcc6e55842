Feature: After an outage of the store, expired registrations are waited for, and removed targets get no requests after the drain time

  Background:
    Given 6 entries and 4 targets that follow a store

  # Guards against waits in series: for calls that were swallowed, for a batch of changes, and then for a registration that was removed
  # while the store served.
  Scenario Outline: A target that is removed <removedMs> ms after the store is back from <outageMs> ms without answers (<calls>), <gapMs> ms after another change, gets no requests in time
    When the store is away for <outageMs> ms and calls are <calls>, and targets write <writes> after its return
    And a target is removed <removedMs> ms after its return, <gapMs> ms after another change
    Then no entry uses that target 1900 ms later

    Examples:
      | outageMs | calls     | writes | removedMs | gapMs |
      | 4500     | swallowed | often  | 3020      | 0     |
      | 4500     | swallowed | often  | 3020      | 10    |
      | 4700     | swallowed | often  | 3020      | 50    |
      | 4900     | swallowed | often  | 2000      | 10    |
      | 5100     | swallowed | often  | 2500      | 10    |
      | 2300     | swallowed | often  | 3500      | 20    |
      | 4500     | swallowed | often  | 4000      | 10    |
      | 4500     | swallowed | never  | 2000      | 10    |
      | 4600     | swallowed | never  | 2500      | 0     |
      | 4800     | swallowed | never  | 3020      | 10    |
      | 5000     | swallowed | never  | 3020      | 50    |
      | 4500     | refused   | often  | 2000      | 10    |
      | 4500     | refused   | never  | 2500      | 10    |
      | 3000     | refused   | never  | 3020      | 10    |

  # Guards against dropping targets that were only unable to write while the store was away.
  Scenario Outline: Registrations that expire <expireMs> ms after the store is back from <outageMs> ms without answers (<calls>) are waited for
    When the store is away for <outageMs> ms and calls are <calls>, and registrations expire <expireMs> ms after its return until <backMs> ms after it
    Then no entry has stopped using a registered target

    Examples:
      | outageMs | calls     | expireMs | backMs |
      | 4500     | swallowed | 0        | 1500   |
      | 5000     | swallowed | 0        | 1300   |
      | 4500     | refused   | 0        | 1500   |
      | 4500     | swallowed | 300      | 1500   |
      | 4800     | swallowed | 900      | 1500   |
      | 4500     | refused   | 600      | 1500   |

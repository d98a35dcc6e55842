Feature: All entries together keep within the retry budget, whichever of them restart

  # Guards against a budget that lives in the memory of one process: each process that started had its full budget again, and one that did
  # not know its peers yet took the budget of all. Six entries that were killed twice within 5 s sent 246 retries in 10 s; 142 were allowed.
  Scenario Outline: Targets break off every request while entries restart: <restarts>, seed <seed>
    Given 6 entries and 8 targets, and 40 requests per second of 3 attempts each, seed <seed>
    When all targets break off every request from second 1 to 14, and entries restart "<restarts>"
    Then the retries stay within the budget in every window

    Examples:
      | restarts                            | seed |
      | never                               | 1    |
      | all at once, twice                  | 1    |
      | all at once, three times            | 2    |
      | one after the other                 | 3    |
      | one after the other, twice          | 1    |
      | one after the other, twice          | 4    |
      | half of them, four times            | 5    |
      | all at once, then one after another | 6    |
      | four one after the other, while two are cut off | 9 |
      | at random                           | 7    |
      | at random                           | 8    |

  # Guards against credit that is saved over a whole window of sound answers, and then spent beside the credit of the next window; and against
  # entries that divide the slack among those that they know, while others that are cut off use their parts as well.
  Scenario Outline: Targets break off every request <from> s after the start: <restarts>, slack <slack>, seed <seed>
    Given 6 entries and 8 targets, 40 requests per second of 3 attempts each, and a slack of <slack>, seed <seed>
    When all targets break off every request from second <from> to <until>, and entries restart "<restarts>"
    Then the retries stay within the budget in every window

    Examples:
      | from | until | restarts                                      | slack | seed |
      | 11   | 24    | never                                         | 90    | 1    |
      | 11   | 24    | never                                         | 10    | 2    |
      | 11   | 24    | one after the other                           | 10    | 3    |
      | 1    | 26    | two one after the other, while four are cut off | 90  | 1    |
      | 1    | 26    | two one after the other, while four are cut off | 300 | 2    |

  # A budget that is not used leaves requests unserved that a retry would have served.
  Scenario Outline: The budget is used while no entry restarts, seed <seed>
    Given 6 entries and 8 targets, and 40 requests per second of 3 attempts each, seed <seed>
    When all targets break off every request from second 1 to 14, and entries restart "never"
    Then at least 80 hundredths of the retries that the budget allows are sent in some window

    Examples:
      | seed |
      | 1    |
      | 2    |

  # Without it, entries that start for the first time could not use the slack for a whole window.
  Scenario Outline: A process knows from registrations in the store whether it may use the slack at once: <event>
    Given 6 entries and 4 targets that follow a store
    When entries have started for the first time, and "<event>"
    Then "<new>" know that no process before them has used the budget

    Examples:
      | event                                                      | new         |
      | nothing happens                                            | 1 2 3 4 5 6 |
      | entry 1 restarts                                           | 2 3 4 5 6   |
      | all entries restart                                        |             |
      | entry 7 joins after 20 s                                   | 1 2 3 4 5 6 |
      | the store loses the registrations, and all entries restart |             |

  # Guards against a bucket that is full at each start: a process that restarts every second could retry every request.
  Scenario: Requests over links: processes that restart do not begin with a full budget
    When 10 processes start one after the other, and each retries what the budget allows for 5 requests over links
    Then they have sent no more than 10 retries

Feature: The clock of a process includes the time for which its VM was suspended

  # A monotonic clock stops while a VM is suspended; its uptime and the time of day go on, and the time of day may also step.
  # State dated by the monotonic clock alone would look as fresh after a suspension as before.
  Scenario Outline: <what>: the process's clock advances by <counted> ms
    Given a process whose clocks have run for 5000 ms
    When its VM is suspended for <suspended> ms and its time of day steps by <step> ms
    And 1500 ms pass for its clocks
    Then its clock has advanced by <counted> ms

    Examples:
      | what                                             | suspended | step  | counted |
      | Nothing happens                                  | 0         | 0     | 1500    |
      | The VM is suspended                              | 6000      | 0     | 7500    |
      | The time of day steps ahead                      | 0         | 2400  | 1500    |
      | The time of day steps back                       | 0         | -2400 | 1500    |
      | The VM is suspended, its time of day steps back  | 6000      | -6000 | 7500    |
      | The VM is suspended, its time of day steps ahead | 3000      | 5000  | 4500    |

  Scenario: A process that is frozen between two readings of its clocks does not count that as a suspension
    Given a process whose clocks have run for 5000 ms
    When it is frozen for 4000 ms between one reading and the next
    And 1500 ms pass for its clocks
    Then its clock has advanced by 5500 ms

  Scenario Outline: A process whose VM has an unreliable uptime logs it, and does not count a step of the time of day: <pace>
    Given a process whose VM's uptime advances <pace> times as fast as its other clocks
    When its VM is suspended for 0 ms and its time of day steps by 2400 ms
    And 1500 ms pass for its clocks
    Then its clock has advanced by 1500 ms
    And its log says that the VM's uptime cannot be used

    Examples:
      | pace |
      | 0.6  |
      | 1.6  |

  Scenario: A request whose deadline passes while the entry's VM is suspended is answered when it resumes
    Given an entry before 1 target
    And target 1 answers "slow" first
    When a caller waits for "POST /release/1" as the entry's VM is suspended for 6000 ms
    Then the caller is told within 2 s that it is unknown whether the request ran

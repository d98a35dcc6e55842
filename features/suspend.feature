Feature: A VM that was suspended knows how old what it believes has become

  # The steady clock stands still while a VM is suspended; the time since its start and the time of day go on, and the time of day
  # may step besides. What was dated by the steady clock alone, would look as fresh as before.
  Scenario Outline: <what>: the process's clock goes on by <counted> ms
    Given a process whose clocks have run for 5000 ms
    When its VM is suspended for <suspended> ms and its time of day steps by <step> ms
    And 1500 ms pass for its clocks
    Then its clock has gone on by <counted> ms

    Examples:
      | what                                             | suspended | step  | counted |
      | Nothing happens                                  | 0         | 0     | 1500    |
      | The VM is suspended                              | 6000      | 0     | 7500    |
      | The time of day steps ahead                      | 0         | 2400  | 1500    |
      | The time of day steps back                       | 0         | -2400 | 1500    |
      | The VM is suspended, its time of day steps back  | 6000      | -6000 | 7500    |
      | The VM is suspended, its time of day steps ahead | 3000      | 5000  | 4500    |

  Scenario: A process that is frozen between two readings of its clocks does not take that for a suspended VM
    Given a process whose clocks have run for 5000 ms
    When it is frozen for 4000 ms between one reading and the next
    And 1500 ms pass for its clocks
    Then its clock has gone on by 5500 ms

  Scenario Outline: A VM whose time since its start cannot be trusted says so, and takes no step of its time of day for more: <pace>
    Given a process whose VM's time since its start goes on <pace> times as fast as others
    When its VM is suspended for 0 ms and its time of day steps by 2400 ms
    And 1500 ms pass for its clocks
    Then its clock has gone on by 1500 ms
    And its log says that the time since the VM's start cannot be used

    Examples:
      | pace |
      | 0.6  |
      | 1.6  |

  Scenario: What a caller may still wait for is over when its VM wakes
    Given an entry before 1 target
    And target 1 answers "slow" first
    When a caller waits for "POST /release/1" as the entry's VM is suspended for 6000 ms
    Then the caller is told within 2 s that it is not known whether it ran

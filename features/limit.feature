Feature: The requests of all entries together reach but do not exceed the rate limit that a target announces

  # A target that had announced a limit of 1 requests per second got 12 in 4 s from six entries that knew of it, as many as targets
  # without a limit; 11 are allowed (one and a half times the limit, plus 5). Each entry sent one to six requests, within the limit
  # and its margin, but a limit applies to the sum over all entries, and the header was not read either. In memory, 8 entries together
  # sent 30 in 4 s, none of them more than 7; with one entry granting the permits they send 4.
  Scenario Outline: <limited> of <targets> targets announce <perSecond> requests per second to <entries> entries, seed <seed>
    Given <entries> entries and <targets> targets, with callers that use 5 tenths of the capacity, seed <seed>
    When <limited> targets announce a limit of <perSecond> per second from second 2 to 14
    Then none of them gets more requests from all entries in any 4 seconds than one and a half times its limit plus 5
    And each of them gets at least 7 tenths of its limit
    And at least 9 in 10 of the callers during that time are served at the first attempt

    Examples:
      | entries | targets | limited | perSecond | seed |
      | 8       | 16      | 1       | 1         | 1    |
      | 8       | 6       | 2       | 1.5       | 2    |
      | 8       | 6       | 2       | 0.2       | 3    |
      | 32      | 16      | 4       | 1         | 4    |
      | 32      | 16      | 1       | 0.5       | 5    |
      | 3       | 4       | 1       | 3.5       | 6    |

  Scenario Outline: Over sockets, entries together observe the limit and continue to use it: <request>, a limit of "<limit>"
    Given 3 entries before 2 targets that know each other
    And target 1 announces a limit of "<limit>" in its answers
    When callers send "<request>" 90 times, to the entries in turn
    Then target 1 has received at most <most> requests
    When 8000 ms pass
    Then soon a caller that sends "<request>" reaches target 1

    Examples:
      | request         | limit    | most |
      | GET /read/1     | 1        | 11   |
      | GET /stream/1   | 0.2      | 6    |
      | POST /release/1 | 0.5      | 8    |
      | GET /read/1     | 1, 30    | 11   |

  # Callers send more than the limits allow. Excess requests are refused at once, with retry times that are spread at the rate of the
  # limits: with equal retry times all callers would return together, and most would be refused again.
  Scenario Outline: All <targets> targets announce <perSecond> requests per second, and callers send more, <entries> entries, seed <seed>
    Given <entries> entries and <targets> targets, with callers that use 5 tenths of the capacity, seed <seed>
    When <targets> targets announce a limit of <perSecond> per second from second 2 to 14
    Then none of them gets more requests from all entries in any 4 seconds than one and a half times its limit plus 5
    And each of them gets at least 8 tenths of its limit
    And each refusal is answered within 50 ms
    And no interval of 200 ms is announced for retries more than 4 times as often as the mean

    Examples:
      | entries | targets | perSecond | seed |
      | 8       | 6       | 1.5       | 1    |
      | 8       | 6       | 3         | 2    |
      | 32      | 16      | 1         | 3    |
      | 2       | 3       | 2         | 4    |

  # Only a target's answers show that its limit has ended, so a target that accepts no requests still has to get an occasional one.
  Scenario Outline: A target that no longer announces its limit of <perSecond> requests per second gets its share again
    Given 8 entries and 6 targets, with callers that use 5 tenths of the capacity, seed 3
    When 2 targets announce a limit of <perSecond> per second from second 2 to 14
    And another 6 seconds pass
    Then those 2 targets get at least half of their share of the requests in the last 2 seconds

    Examples:
      | perSecond |
      | 0         |
      | 0.2       |
      | 1         |

  # Entries that are separated use a part of the limit each, and the parts add up to no more than the limit.
  Scenario Outline: Entries that are separated for 5 s together observe the limit, <cut> of <entries> cut off, seed <seed>
    Given <entries> entries and 6 targets, with callers that use 5 tenths of the capacity, seed <seed>
    When links between <cut> of the entries and the others are cut from second 6 to 11
    And 2 targets announce a limit of <perSecond> per second from second 2 to 16
    Then none of them gets more requests from all entries in any 4 seconds than one and a half times its limit plus 5
    And each of them gets at least 6 tenths of its limit

    Examples:
      | entries | cut | perSecond | seed |
      | 8       | 3   | 1         | 1    |
      | 8       | 1   | 0.5       | 2    |
      | 32      | 12  | 1         | 3    |
      | 8       | 4   | 2         | 4    |

  # A permit that was granted for an earlier time would be added to the current ones.
  Scenario: Late answers of the entry that grants the permits are not used
    Given 8 entries and 16 targets, with callers that use 5 tenths of the capacity, seed 4
    When links between entries have a one-way delay of 100 ms from second 6 to 16
    And 2 targets announce a limit of 1 per second from second 2 to 14
    Then none of them gets more requests from all entries in any 4 seconds than one and a half times its limit plus 5
    And at least 9 in 10 of the callers during that time are served at the first attempt

  Scenario Outline: Over sockets, the entries that grant the permits are killed one after the other, a limit of "<limit>"
    Given 4 entries before 2 targets that know each other
    And target 1 announces a limit of "<limit>" in its answers
    When callers send "GET /stream/1" 40 times, to the entries in turn
    And entry "entry-4" is killed
    And callers send "GET /stream/1" 40 times, to the entries in turn
    And entry "entry-3" is killed
    And callers send "GET /stream/1" 40 times, to the entries in turn
    Then target 1 has received at most <most> requests
    And soon a caller that sends "GET /stream/1" reaches target 1

    Examples:
      | limit | most |
      | 1     | 11   |
      | 3     | 23   |

  Scenario Outline: Entries observe the limits, with random limits, separated entries, leaving and restarting targets: seed <seed>
    Given <entries> entries and 6 targets, with callers that use 5 tenths of the capacity, seed <seed>
    When targets announce changing limits, leave, crash and restart, and links are cut, at random for 24 seconds
    Then no target incarnation gets more requests from all entries in any 4 seconds than one and a half times its highest limit plus 5

    Examples:
      | entries | seed |
      | 8       | 1    |
      | 8       | 2    |
      | 8       | 3    |
      | 8       | 4    |
      | 24      | 5    |
      | 24      | 6    |
      | 3       | 7    |
      | 3       | 8    |

  Scenario Outline: A limit that cannot be parsed changes nothing, and ends no limit: "<limit>"
    Given an entry before 2 targets
    And target 1 announces a limit of "0.5" in its answers
    When callers send "GET /read/1" 10 times, to the entries in turn
    And target 1 announces a limit of "<limit>" in its answers
    And 2100 ms pass
    And callers send "GET /read/1" 40 times, to the entries in turn
    Then target 1 has received at most 8 requests

    Examples:
      | limit     |
      | -1        |
      | many      |
      | 1e3       |
      | 0.5, none |

  Scenario: The limit of a target ends when it restarts
    Given an entry before 2 targets
    And target 1 announces a limit of "0.2" in its answers
    When callers send "GET /stream/1" 20 times, to the entries in turn
    And target 1 restarts under its id
    And callers send "GET /stream/1" 60 times, to the entries in turn
    Then target 1 has received at least 15 requests

  Scenario: When no tried target has a permit left, refusals say so, with different retry times
    Given an entry before 9 targets
    And each target but 10 announces a limit of "0.2" in its answers
    When callers send "GET /stream/1" 60 times, to the entries in turn
    And 12 times 1010 ms pass and callers send "GET /stream/1"
    Then refusals say that targets take no more for now, and their Retry-After values differ

  Scenario: When most targets have no permit left, a request goes at once to one without a limit
    Given an entry before 9 targets
    And each target but 9 announces a limit of "0.2" in its answers
    When callers send "GET /stream/1" 60 times, to the entries in turn
    And 4 times 1010 ms pass and callers send "GET /stream/1"
    Then all of these requests are served

  # Callers send more than the limits allow, so each side sends everything that it is permitted to.
  Scenario Outline: Entries that are separated for 6 s have more requests than the limits allow, <cut> of 8 cut off, seed <seed>
    Given 8 entries and 6 targets, with callers that use 20 tenths of the capacity, seed <seed>
    When links between <cut> of the entries and the others are cut from second 6 to 12
    And 6 targets announce a limit of 5 per second from second 2 to 14
    Then none of them gets more requests from all entries in any 4 seconds than one and a half times its limit plus 5
    And each of them gets at least 8 tenths of its limit

    Examples:
      | cut | seed |
      | 4   | 1    |
      | 3   | 2    |

  Scenario: An older answer without a limit that arrives later does not end the limit
    Given a target that announced a limit of 1 requests per second at 1000 ms
    When an answer without a limit arrives at 1010 ms for a request sent at 990 ms
    Then the limit of the target is 1 requests per second
    When an answer without a limit arrives at 1030 ms for a request sent at 1020 ms
    Then the target has no limit

  Scenario: An entry that is asked for a permit grants none while the peer that grants them is live
    Given an entry with a live peer that grants the permits of a target
    When a third entry requests a permit from it for a limit of 1 requests per second, 10000 ms later
    Then it grants no permit

  Scenario: A permit that an entry reads after its process was suspended is not used
    Given an entry with a live peer that grants the permits of a target
    When it requests a permit, and receives the grant after 5000 ms
    Then it does not send the request

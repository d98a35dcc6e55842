Feature: A target that names a limit gets no more than that from all entries together, and gets that much

  # Seen: a target that had named a limit of 1 request a second got 12 in 4 s from entries that it had told; 11 are allowed, one and
  # a half times the limit and 5. It got as much as the targets that named none.
  # How: six entries sent it one to six each in those 4 s; none of them sent more than the limit and its margin allow.
  # Cause: what was sent was counted by each entry alone, and a limit is a sum over all. The header was not read either.
  # Proof: in memory 8 entries together sent 30 in 4 s, no entry more than 7; kept by one count, they send 4.
  Scenario Outline: <limited> of <targets> targets name <perSecond> a second, <entries> entries send, seed <seed>
    Given <entries> entries before <targets> targets, and callers who need 5 tenths of them, seed <seed>
    When <limited> targets name a limit of <perSecond> a second from second 2 to 14
    Then none of them gets more from all entries in any 4 seconds than one and a half times its limit and 5 requests
    And each of them gets at least 7 tenths of its limit
    And at least 9 in 10 of all callers meanwhile are served at once

    Examples:
      | entries | targets | limited | perSecond | seed |
      | 8       | 16      | 1       | 1         | 1    |
      | 8       | 6       | 2       | 1.5       | 2    |
      | 8       | 6       | 2       | 0.2       | 3    |
      | 32      | 16      | 4       | 1         | 4    |
      | 32      | 16      | 1       | 0.5       | 5    |
      | 3       | 4       | 1       | 3.5       | 6    |

  Scenario Outline: Over sockets entries keep to it together, whoever sends, and go on using it: <request>, a limit of "<limit>"
    Given 3 entries before 2 targets that know each other
    And target 1 names a limit of "<limit>" in its answers
    When callers send "<request>" 90 times, to the entries in turn
    Then target 1 has been asked at most <most> times
    When 8000 ms pass
    Then soon a caller who sends "<request>" reaches target 1

    Examples:
      | request         | limit    | most |
      | GET /read/1     | 1        | 11   |
      | GET /stream/1   | 0.2      | 6    |
      | POST /release/1 | 0.5      | 8    |
      | GET /read/1     | 1, 30    | 11   |

  # Pattern: what targets take is less than what is asked for. Who cannot be served is told at once, and comes back at the pace of the
  # places: told one time, all would come together, and be refused again but for the first.
  Scenario Outline: All <targets> targets name <perSecond> a second, and callers want more, <entries> entries, seed <seed>
    Given <entries> entries before <targets> targets, and callers who need 5 tenths of them, seed <seed>
    When <targets> targets name a limit of <perSecond> a second from second 2 to 14
    Then none of them gets more from all entries in any 4 seconds than one and a half times its limit and 5 requests
    And each of them gets at least 8 tenths of its limit
    And whoever is refused is told within 50 ms
    And no 200 ms are told to more than 4 times as many as others are, by the mean

    Examples:
      | entries | targets | perSecond | seed |
      | 8       | 6       | 1.5       | 1    |
      | 8       | 6       | 3         | 2    |
      | 32      | 16      | 1         | 3    |
      | 2       | 3       | 2         | 4    |

  # Its answers alone tell that a limit has ended, so that a target that takes nothing has to be asked now and then.
  Scenario Outline: A target that named <perSecond> a second and does no more gets its share again
    Given 8 entries before 6 targets, and callers who need 5 tenths of them, seed 3
    When 2 targets name a limit of <perSecond> a second from second 2 to 14
    And another 6 seconds pass
    Then those 2 get at least half of their share in the last 2 seconds

    Examples:
      | perSecond |
      | 0         |
      | 0.2       |
      | 1         |

  # Who is cut off has its part, and the parts add up to no more than the whole.
  Scenario Outline: Entries that do not hear each other for 5 s send no more together, <cut> of <entries> apart, seed <seed>
    Given <entries> entries before 6 targets, and callers who need 5 tenths of them, seed <seed>
    When <cut> of the entries and the others do not hear each other from second 6 to 11
    And 2 targets name a limit of <perSecond> a second from second 2 to 16
    Then none of them gets more from all entries in any 4 seconds than one and a half times its limit and 5 requests
    And each of them gets at least 6 tenths of its limit

    Examples:
      | entries | cut | perSecond | seed |
      | 8       | 3   | 1         | 1    |
      | 8       | 1   | 0.5       | 2    |
      | 32      | 12  | 1         | 3    |
      | 8       | 4   | 2         | 4    |

  # A permit that was given out for an earlier moment would add to those of now.
  Scenario: Answers of the entry that keeps the permits come late, and are not used
    Given 8 entries before 16 targets, and callers who need 5 tenths of them, seed 4
    When links between entries take 100 ms each way from second 6 to 16
    And 2 targets name a limit of 1 a second from second 2 to 14
    Then none of them gets more from all entries in any 4 seconds than one and a half times its limit and 5 requests
    And at least 9 in 10 of all callers meanwhile are served at once

  Scenario Outline: Over sockets, the entries that keep the permits are killed one after the other, a limit of "<limit>"
    Given 4 entries before 2 targets that know each other
    And target 1 names a limit of "<limit>" in its answers
    When callers send "GET /stream/1" 40 times, to the entries in turn
    And entry "entry-4" is killed
    And callers send "GET /stream/1" 40 times, to the entries in turn
    And entry "entry-3" is killed
    And callers send "GET /stream/1" 40 times, to the entries in turn
    Then target 1 has been asked at most <most> times
    And soon a caller who sends "GET /stream/1" reaches target 1

    Examples:
      | limit | most |
      | 1     | 11   |
      | 3     | 23   |

  Scenario Outline: Whatever targets name, whoever is cut off, leaves or starts again, it is kept: seed <seed>
    Given <entries> entries before 6 targets, and callers who need 5 tenths of them, seed <seed>
    When targets name limits that change, leave, crash and start again, and entries are cut off, for 24 seconds, as the seed has it
    Then no life of a target gets more from all entries in any 4 seconds than one and a half times the most that it named, and 5 requests

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

  Scenario Outline: What cannot be read changes nothing, and ends no limit: "<limit>"
    Given an entry before 2 targets
    And target 1 names a limit of "0.5" in its answers
    When callers send "GET /read/1" 10 times, to the entries in turn
    And target 1 names a limit of "<limit>" in its answers
    And 2100 ms pass
    And callers send "GET /read/1" 40 times, to the entries in turn
    Then target 1 has been asked at most 8 times

    Examples:
      | limit     |
      | -1        |
      | many      |
      | 1e3       |
      | 0.5, none |

  Scenario: What a target named in its former life is not held against its next
    Given an entry before 2 targets
    And target 1 names a limit of "0.2" in its answers
    When callers send "GET /stream/1" 20 times, to the entries in turn
    And target 1 starts again under its id
    And callers send "GET /stream/1" 60 times, to the entries in turn
    Then target 1 has been asked at least 15 times

  Scenario: Where no target that is asked has a permit left, callers are told so, and not all the same time
    Given an entry before 9 targets
    And each target but 10 names a limit of "0.2" in its answers
    When callers send "GET /stream/1" 60 times, to the entries in turn
    And 12 times 1010 ms pass and callers send "GET /stream/1"
    Then those that are refused hear that targets take no more for now, and some of them other times than others

  Scenario: Where most targets have no permit left, a request goes to one that names no limit, at once
    Given an entry before 9 targets
    And each target but 9 names a limit of "0.2" in its answers
    When callers send "GET /stream/1" 60 times, to the entries in turn
    And 4 times 1010 ms pass and callers send "GET /stream/1"
    Then all of that is served

  # With more callers than targets take, whatever two sides may send they do send.
  Scenario Outline: Entries that do not hear each other for 6 s want more than there is, <cut> of 8 apart, seed <seed>
    Given 8 entries before 6 targets, and callers who need 20 tenths of them, seed <seed>
    When <cut> of the entries and the others do not hear each other from second 6 to 12
    And 6 targets name a limit of 5 a second from second 2 to 14
    Then none of them gets more from all entries in any 4 seconds than one and a half times its limit and 5 requests
    And each of them gets at least 8 tenths of its limit

    Examples:
      | cut | seed |
      | 4   | 1    |
      | 3   | 2    |

  Scenario: An older answer that names no limit, and comes later, does not end it
    Given a target that has named 1 a second at 1000 ms
    When an answer that names none comes at 1010 ms to a request of 990 ms
    Then the target takes 1 a second
    When an answer that names none comes at 1030 ms to a request of 1020 ms
    Then the target names no limit

  Scenario: An entry that is asked for a permit, and hears another that keeps them, gives none
    Given an entry that hears another which keeps the permits of a target
    When a third entry asks it for a permit at 1 a second, 10000 ms later
    Then it gives none

  Scenario: A permit that an entry reads after it stood still is not used
    Given an entry that hears another which keeps the permits of a target
    When it asks for a permit, and reads after 5000 ms that it has it
    Then it does not send the request

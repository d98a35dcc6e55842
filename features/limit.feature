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

Feature: A target that asks for rest gets it, and one that says that it leaves gets nothing new

  # Seen: a target had asked an entry for 3 s of rest and got 11 requests from it meanwhile. For nine seconds five of sixteen
  # targets turned everything away, and got three quarters of all requests; the other eleven got fewer than before.
  # How: a request was refused within 2 ms and went to another of the five, its caller came back and met them again.
  # Cause: what a refusal says was forgotten with its request, and targets were chosen by requests in flight, of which one that
  # refuses at once has fewest. A wish for rest was not even read.
  # Proof: 861 of 1,002 refused sends went to a target with nothing in flight, on a day without any wish for rest.
  Scenario Outline: Five of sixteen targets turn everything away for nine seconds, <asking>, seed <seed>
    Given 8 entries before 16 targets, and callers who need a third of them, seed <seed>
    When 5 targets turn everything away from second 2 to 11, <asking>
    Then no target gets anything from an entry half a second after it has asked it for rest, until its end
    And those 5 get no more than their share of what is sent meanwhile
    And at least 9 in 10 of the callers of each second are served at once

    Examples:
      | asking                  | seed |
      | asking for 3000 ms rest | 1    |
      | asking for 3000 ms rest | 2    |
      | asking for 400 ms rest  | 3    |
      | asking for nothing      | 1    |
      | asking for nothing      | 2    |

  # Each of many entries has few requests, and would find out by itself at the cost of most of them.
  Scenario Outline: It takes few requests to find out who refuses and who serves again, however many entries there are: <asking>, seed <seed>
    Given 40 entries before 16 targets, and callers who need a third of them, seed <seed>
    When 5 targets turn everything away from second 2 to 11, <asking>
    Then those 5 get no more than their share of what is sent meanwhile
    And at least 9 in 10 of all callers meanwhile are served at once
    When another 6 seconds pass
    Then those 5 get at least half of their share in the last 2 seconds

    Examples:
      | asking                  | seed |
      | asking for 3000 ms rest | 1    |
      | asking for nothing      | 2    |

  # Pattern: a burst fills targets, which turn the next away for seconds each. Their load falls on the others, and the callers who come
  # back as well: without what refusals say, the same targets are asked again while others have room.
  Scenario Outline: A tenth more callers come than targets can serve, and full ones ask for <restMs> ms rest, seed <seed>
    Given 8 entries before 16 targets, and callers who need 11 tenths of them, seed <seed>
    When full targets ask for <restMs> ms rest for 8 seconds
    Then no target gets anything from an entry half a second after it has asked it for rest, until its end
    And at least 9 in 10 of those whom the targets have room for are served at once

    Examples:
      | restMs | seed |
      | 1000   | 1    |
      | 3000   | 1    |
      | 3000   | 2    |

  Scenario Outline: Whatever targets ask for, whenever they leave or start again, it is kept: seed <seed>
    Given 6 entries before 12 targets, and callers who need a third of them, seed <seed>
    When targets turn requests away, ask for rests of drawn lengths, leave and start again for 20 seconds, as the seed has it
    Then no target gets anything from an entry half a second after it has asked it for rest, until its end
    And no target gets anything from an entry a second after that has read that it leaves

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

  Scenario: The log tells when a rest begins and ends, and who is left out of a request for it
    Given 1 entries before 4 targets, and callers who need a third of them, seed 1
    When 1 targets turn everything away from second 1 to 6, asking for 1500 ms rest
    And another 6 seconds pass
    Then the log holds a line like "target-0 of desk asks for 1500 ms of rest (503, Retry-After 1.5), "
    And the log holds a line like "left out target-0 (rests "
    And the log holds a line like "target-0 of desk has had its rest of 1500 ms, 0 requests were sent to it meanwhile"
    And the log holds a line like "target-0 refuses what it is sent: others go first"
    And the log holds a line like "target-0 serves again, "

  Scenario Outline: Whoever sends, a target that asks for rest with <status> gets nothing until its end: <request>
    Given an entry before 2 targets
    And target 1 turns everything away with <status> and Retry-After "20"
    When a caller sends "<request>" until target 1 has been asked
    And a caller sends "<request>" 12 times
    Then target 1 has been asked once
    When 18000 ms pass
    And a caller sends "<request>" 6 times
    Then target 1 has been asked once
    When 2100 ms pass
    Then a caller who sends "<request>" again and again reaches target 1

    Examples:
      | request         | status |
      | GET /read/1     | 503    |
      | GET /stream/1   | 503    |
      | POST /release/1 | 503    |
      | GET /read/1     | 429    |

  Scenario: Where every target rests, callers are told at once when one will take requests again
    Given an entry before 2 targets
    And target 1 turns everything away with 503 and Retry-After "0.6"
    And target 2 turns everything away with 503 and Retry-After "0.7"
    When a caller sends "GET /read/1" 1 times
    And a caller sends "GET /read/1" 20 times
    Then target 1 has been asked once
    And target 2 has been asked once
    And the last 20 are refused as not run, to come back after 400 ms or more, and not all at one moment

  Scenario: A target that starts again under its id is not held to the rest of its former life
    Given an entry before 2 targets
    And target 1 turns everything away with 503 and Retry-After "3"
    When a caller sends "GET /read/1" until target 1 has been asked
    And target 1 starts again under its id
    Then a caller who sends "GET /read/1" again and again reaches target 1

  Scenario: What another target at the address asks for is not laid to the one that was meant
    Given an entry before 1 target
    And target 1 turns everything away with 503 and Retry-After "3", in the name of "another"
    When a caller sends "GET /read/1" until target 1 has been asked
    Then a caller who sends "GET /read/1" again and again reaches target 1

  Scenario Outline: A target that says in <answer> to <request> that it leaves gets nothing new, though it is registered as before
    Given an entry before 1 target
    And target 1 says in its answers that it is about to leave
    And target 1 answers "<manner>" first
    When a caller sends "<request>" until target 1 has been asked
    And a caller sends "<request>" 3 times
    Then target 1 has been asked once
    And all of that is refused as not run
    When target 1 is registered once more as before
    And a caller sends "<request>" 3 times
    Then target 1 has been asked once
    When target 1 starts again under its id
    Then a caller who sends "<request>" again and again reaches target 1

    Examples:
      | answer             | manner   | request         |
      | a success          | answer   | GET /read/1     |
      | a success          | answer   | POST /release/1 |
      | a stream's head    | answer   | GET /stream/1   |
      | a refusal          | refuse   | GET /read/1     |
      | a failure          | fail     | GET /read/1     |
      | another's answer   | wrong-id | GET /read/1     |

  Scenario: What one entry is told of a leaving target the others hear, while the store names it as ready
    Given 2 entries before 1 target that know each other
    And target 1 says in its answers that it is about to leave
    When a caller sends "GET /read/1" until target 1 has been asked
    And target 1 does not say it any more
    Then soon nothing that a caller sends to "entry-2" reaches target 1

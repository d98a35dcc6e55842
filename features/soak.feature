Feature: Real processes under faults drawn from a seed keep the guarantees, as callers and workers see them

  # Without it, a checker that overlooks a guarantee would pass whatever the processes do.
  Scenario Outline: The checker finds each violation: <violation>
    Given the history of a soak without violations
    When the history shows that "<violation>"
    Then the checker reports a violation of "<guarantee>" only

    Examples:
      | violation                                                 | guarantee     |
      | a caller gets the answer to another request               | answer        |
      | a stream without its last event ends as complete          | answer        |
      | a request that runs at most once runs at two workers      | once          |
      | a request that is refused as not run has run              | not-run       |
      | more retries arrive within a window than are allowed      | budget        |
      | an entry does not know a route 2.5 s after it was added   | configuration |
      | a worker gets a request 2.5 s after it has left           | departure     |
      | a request is cut by the planned stop of its entry         | stop          |
      | most requests fail after the last fault                   | return        |
      | requests with a part that has crashed five workers go on arriving | part |
      | a running request from a kept connection gets no answer   | lost          |
      | a running request gets no answer while the store is away  | lost          |
      | a request to a stopping entry is read and gets no answer, though no worker had it | lost |
      | the second of two requests at once is cut by a planned stop | lost        |
      | a slowly read answer is cut by a planned stop             | lost          |
      | a stream ends early after SIGHUP or a change              | lost          |
      | a stream that may run once is refused as not run, and ran | not-run       |
      | a running request is answered 400 for what follows it     | answer        |
      | a request has no answer 0.8 s after the timeout of its route | timeout    |
      | an entry ends by itself                                   | end           |
      | an entry outgrows its machine                             | memory        |

  # Without it, a checker that takes what is allowed for a loss would fail for no fault.
  Scenario Outline: The checker reports no loss of a request if <excuse>
    Given the history of a soak without violations
    And a request that ends without an answer, but "<excuse>"
    Then the checker reports nothing

    Examples:
      | excuse                                     |
      | its worker broke it off                    |
      | it crossed the close and was not passed on |
      | it was written ahead and not passed on     |
      | its entry was killed                       |
      | its entry had not read it                  |
      | its last byte was never sent               |

  # Without it, a checker that counts retries of probes, but not the probes themselves, would fail for no fault.
  Scenario: Probes that are passed on earn retries as other requests do
    Given the history of a soak without violations
    When 100 probes that are answered 200 and 48 retries arrive within a window
    Then the checker reports nothing

  # Guards against an allowance for more than what was sent and passed on.
  Scenario Outline: The checker finds retries beyond what was sent: <retries> beside 100 probes that are answered <status>
    Given the history of a soak without violations
    When 100 probes that are answered <status> and <retries> retries arrive within a window
    Then the checker reports a violation of "budget" only

    Examples:
      | retries | status |
      | 52      | 200    |
      | 48      | 404    |
      | 48      | 503    |

  # Guards against processes of an interrupted soak that start after it has ended the others, and run on.
  Scenario: A soak that is interrupted while it starts leaves no process
    When a soak is closed as soon as it has begun
    Then none of its processes runs

  # Without it, a run by hand could pass over seeds.
  Scenario Outline: A soak is asked for seeds: <asked>
    Then a soak asked for "<asked>" runs seeds <first> to <last>

    Examples:
      | asked            | first | last |
      | first 3, last 5  | 3     | 5    |
      | seed 127         | 127   | 127  |
      | seeds 50         | 1     | 50   |
      | first 7, seeds 2 | 7     | 8    |

  Scenario Outline: A soak refuses what it cannot run: <asked>
    Then a soak cannot be asked for "<asked>"

    Examples:
      | asked               |
      | first 3             |
      | seed 0              |
      | seeds many          |
      | seed 3, callers all |

  Scenario Outline: Six entries, faults of eight seconds, seed <seed>
    When a soak with 6 entries runs for 8 seconds, seed <seed>
    Then the soak has no violation

    Examples:
      | seed |
      | 1    |
      | 40   |

  # Guards against a part of prompts that goes on crashing workers through restarts, silent connections and a store that is away.
  Scenario: Six entries, faults of eight seconds and a part that crashes workers, seed 101
    When a soak with 6 entries and a part that crashes workers runs for 8 seconds, seed 101
    Then the soak has no violation

  # Guards against requests that end without an answer: written ahead, read slowly, long, in streams that wait, and around planned stops.
  Scenario: Six entries, faults of eight seconds and callers of kept connections, seed 5
    When a soak with 6 entries and callers of kept connections runs for 8 seconds, seed 5
    Then the soak has no violation

  # Guards against crowds that take from ordinary callers what is promised to them, or end a process, beside other faults.
  Scenario: Ordinary callers keep the guarantees beside crowds of callers that misbehave
    When a soak with 6 entries and crowds of callers that misbehave runs for 8 seconds, seed 1
    Then the soak has no violation

Feature: Targets that crash at the same moment do not make a part of prompts or a request refused that all callers send

  # Guards against holding crashes at one moment against a part that all requests share, for which no request without it can speak: the whole
  # service was refused for minutes, at all entries.
  Scenario Outline: <restarted> are killed, and <count> targets (<kind>) crash <afterMs> ms after requests arrive again, and once more after <againMs> ms, seed <seed>
    Given 8 entries before 16 targets that are "<kind>", seed <seed>
    And all prompts begin with the same part
    When "<restarted>" are killed and start again 1400 ms later
    And <count> targets crash <afterMs> ms after the next request arrives, and again <againMs> ms later
    Then at least 19 in 20 of the requests from 12 s to 20 s after the entries are back are served

    Examples: 0 ms means that they crash once
      | restarted   | count | afterMs | againMs | kind           | seed |
      | all entries | 3     | 320     | 0       | one group      | 1    |
      | all entries | 3     | 150     | 0       | one group      | 2    |
      | all entries | 2     | 320     | 0       | one group      | 3    |
      | all entries | 2     | 250     | 0       | one group      | 4    |
      | all entries | 1     | 320     | 0       | one group      | 5    |
      | all entries | 3     | 600     | 0       | one group      | 6    |
      | all entries | 3     | 900     | 0       | one group      | 7    |
      | all entries | 3     | 200     | 4800    | one group      | 8    |
      | all entries | 3     | 200     | 1000    | one group      | 9    |
      | all entries | 3     | 150     | 0       | not in a group | 10   |
      | all entries | 3     | 320     | 0       | not in a group | 11   |
      | all entries | 2     | 200     | 300     | not in a group | 12   |
      | all entries | 3     | 200     | 1000    | not in a group | 13   |
      | all entries | 16    | 200     | 0       | not in a group | 17   |
      | all entries | 16    | 200     | 1600    | not in a group | 18   |
      | all entries | 16    | 200     | 0       | one group      | 19   |
      | one entry   | 3     | 320     | 0       | one group      | 14   |
      | one entry   | 3     | 150     | 4800    | one group      | 15   |
      | one entry   | 3     | 200     | 0       | not in a group | 16   |

  # Guards against probes of a part that does crash targets before other requests could be answered, which tell nothing and stop the group again.
  Scenario Outline: A part that crashes targets is found soon after all entries have started again: a group, seed <seed>
    Given 8 entries and 16 ranks of one group, callers that use 3 tenths, seed <seed>
    And the prompts of callers begin with one of 3 parts and go on with one of 15 documents
    And "all entries" are killed and start again 1400 ms later
    When requests that crash targets come every 300 ms for 26 s: "one part, after the first", with "no disruption"
    Then at most 3 targets crash under each part
    And from 6 s after the fifth crash, at least 19 in 20 of the other requests are served at the first attempt

    Examples:
      | seed |
      | 200  |
      | 204  |
      | 208  |

  # The same for requests that are known by their contents, as they have no prompts.
  Scenario Outline: <restarted> are killed, and all <targets> targets crash <afterMs> ms after requests arrive again, and once more after <againMs> ms: requests are identical, seed <seed>
    Given 8 entries before <targets> targets that are "not in a group", seed <seed>
    When "<restarted>" are killed and start again 1400 ms later
    And <targets> targets crash <afterMs> ms after the next request arrives, and again <againMs> ms later
    Then at least 19 in 20 of the requests from 12 s to 20 s after the entries are back are served

    Examples:
      | restarted   | targets | afterMs | againMs | seed |
      | all entries | 6       | 100     | 0       | 21   |
      | all entries | 6       | 200     | 0       | 22   |
      | all entries | 16      | 200     | 0       | 23   |
      | all entries | 16      | 320     | 0       | 24   |
      | all entries | 6       | 320     | 1600    | 25   |
      | one entry   | 6       | 200     | 0       | 26   |

Feature: Targets that crash at the same moment do not make a part of prompts refused that all callers send

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

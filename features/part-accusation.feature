Feature: The part of prompts that explains most crashes is accused, and what it explains counts against no other

  # Guards against refusing what was only lost beside the cause, and against accusing a request's parts for crashes that it met by chance.
  Scenario Outline: Crashes in which <lost> were lost accuse <accused>
    Given crashes 1 s apart in which these parts were lost, each with its request: "<lost>"
    And that nearly all other parts are known to be sound: <sound>
    Then "<accused>" is accused

    Examples:
      | lost                                                | sound | accused          |
      | bad/1                                               | yes   |                  |
      | bad/1; bad/2                                        | no    | bad              |
      | bad/1; bad/1                                        | yes   | bad              |
      | bad/1; bad/1                                        | no    |                  |
      | bad/1; bad/1; bad/1                                 | no    | bad              |
      | bad/1 doc/2; bad/1                                  | yes   |                  |
      | bad/1 doc/2; bad/3                                  | no    | bad              |
      | bad/1 doc/1; bad/2 doc/2                            | yes   |                  |
      | bad/1 doc/1; bad/2 doc/2; bad/3                     | yes   | bad              |
      | bad/1 doc/1; bad/2 doc/2; bad/3 doc/3               | yes   | bad or doc       |
      | bad/1; other/2; bad/3                               | yes   |                  |
      | bad/1; other/2; bad/3; bad/4                        | yes   | bad              |
      | bad/1; other/2; bad/3; other/4; bad/5; other/6      | yes   | bad, other       |
      | bad/1 doc/9; bad/2 doc/8; bad/3; other/4; other/5   | yes   | bad, other       |
      | one/1; two/2; three/3; four/4; bad/5; five/6; six/7; seven/8; eight/9; bad/10; bad/11 | yes | |

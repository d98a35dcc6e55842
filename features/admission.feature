Feature: Streams are admitted as far as their pauses stay within what is promised

  # Pattern: a group in lock step, offered as many streams as it writes in time while its experts are even, and demand
  # that shifts each 4 s. Figures: the users' published ones of 12 ranks; a map follows a shift within about 1.2 s.
  Scenario: More callers are served on time than if all were admitted
    Given the load of "examples/lab.toml"
    When it is played with 4 seeds
    Then the worth is at least 0.1 above that without admission

  Scenario: A load that the group bears is refused nothing
    Given the load of "examples/lab.toml"
    And 25 streams a second
    And demand that stands still
    When it is played with 4 seeds
    Then nobody is refused twice
    And the worth is at least -0.02 above that without admission

  Scenario: Far more streams than the group can write
    Given the load of "examples/lab.toml"
    And 55 streams a second
    When it is played with 4 seeds
    Then the worth is at least 0.1 above that without admission

  Scenario: A spike of slow passes hardly changes how many are admitted
    Given passes of 60 ms with 3 requests at each target
    When passes of 120 ms follow for 1000 ms
    Then at least 80 in 100 of the requests before are admitted at each target

  Scenario: Passes that stay slow are learned, and fast ones at once
    Given passes of 60 ms with 3 requests at each target
    When passes of 120 ms follow for 15000 ms
    Then at most 60 in 100 of the requests before are admitted at each target
    When passes of 60 ms follow for 1500 ms
    Then at least 90 in 100 of the requests before are admitted at each target

  # Pattern: callers who were refused come back together, while others ask for the first time.
  Scenario: Who comes back takes no room from those who can still be on time
    Given passes of 60 ms with 3 requests at each target
    Then a caller who has just asked is admitted where one who comes back is not

  Scenario Outline: An entry counts what all entries have in flight, and refuses only streams with a promise on pauses: <what>
    Given an entry that has seen pauses of 60 ms, with 3 streams at each of 12 targets
    And a peer with <peer> more at each target
    Then asking for "<what>" is "<answer>"

    Examples:
      | what                               | peer | answer   |
      | a stream                           | 0    | admitted |
      | a stream                           | 4    | refused  |
      | a stream without promise on pauses | 4    | admitted |
      | a request in one piece             | 4    | admitted |

  # A pass lasts as long as the fullest rank's part: the mean over ranks of which some refuse says little.
  Scenario Outline: Targets that refuse have no room to reckon with: <refusing> of 12 refuse
    Given an entry that has seen pauses of 60 ms, with 3 streams at each of 12 targets
    When <refusing> of them refuse what they are sent
    And a peer has 3 more at each of 6 others
    Then a stream is "<answer>", by what the others have under way

    Examples:
      | refusing | answer   |
      | 0        | admitted |
      | 6        | refused  |

  Scenario: Before any stream was seen, none is refused
    Then a forecast without observations admits a stream with 1000 under way

  Scenario Outline: A scenario file that cannot be played is refused with file, key and expectation
    When the command "lab" is given a file with "<line>"
    Then it ends with code 2 and names "<key>"

    Examples:
      | line                  | key              |
      | streamsPerSecond = -1 | streamsPerSecond |
      | colour = 3            | colour           |

  Scenario: The pauses of one group say nothing of another
    Given an entry that has seen pauses of 30 ms in one group of 4 targets and of 400 ms in another
    Then a stream may go to targets of the even group only

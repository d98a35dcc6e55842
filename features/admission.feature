Feature: Streams are admitted as long as their pauses are expected to stay within the promised limit

  # A group in lock step is offered as many streams as it can write on time while its experts are balanced, and demand
  # shifts every 4 s. The figures are published ones of 12 ranks; a new map follows a shift within about 1.2 s.
  Scenario: More callers are served on time than without admission control
    Given the load of "examples/lab.toml"
    When the load is simulated with 4 seeds
    Then the worth is at least 0.1 above that without admission control

  Scenario: No caller is refused twice under a load that the group can serve
    Given the load of "examples/lab.toml"
    And 25 streams a second
    And demand that does not shift
    When the load is simulated with 4 seeds
    Then no caller is refused twice
    And the worth is at least -0.02 above that without admission control

  Scenario: Far more streams than the group can serve
    Given the load of "examples/lab.toml"
    And 55 streams a second
    When the load is simulated with 4 seeds
    Then the worth is at least 0.1 above that without admission control

  Scenario: A short spike of slow passes hardly changes how many requests are admitted
    Given passes of 60 ms with 3 requests at each target
    When passes of 120 ms follow for 1000 ms
    Then at least 80 in 100 of the requests admitted before are admitted at each target

  Scenario: The forecast follows slow passes once they last, and fast passes at once
    Given passes of 60 ms with 3 requests at each target
    When passes of 120 ms follow for 15000 ms
    Then at most 60 in 100 of the requests admitted before are admitted at each target
    When passes of 60 ms follow for 1500 ms
    Then at least 90 in 100 of the requests admitted before are admitted at each target

  # Refused callers retry at the same time while others send their first request.
  Scenario: A retry takes no capacity from requests that can still be on time
    Given passes of 60 ms with 3 requests at each target
    Then a first request is admitted at a load at which a retry is not

  Scenario Outline: Admission counts what all entries have in flight, and refuses only streams with a limit on pauses: <what>
    Given an entry that has measured pauses of 60 ms, with 3 streams at each of 12 targets
    And a peer with <peer> more streams at each target
    Then a request for "<what>" is "<answer>"

    Examples:
      | what                               | peer | answer   |
      | a stream                           | 0    | admitted |
      | a stream                           | 4    | refused  |
      | a stream without a limit on pauses | 4    | admitted |
      | a request in one piece             | 4    | admitted |

  # A pass takes as long as its most loaded rank, so a mean load that includes refusing ranks says little about it.
  Scenario Outline: Targets that refuse requests do not count as capacity: <refusing> of 12 refuse
    Given an entry that has measured pauses of 60 ms, with 3 streams at each of 12 targets
    When <refusing> of them refuse requests
    And a peer has 3 more streams at each of 6 others
    Then a stream is "<answer>", by the load of the others

    Examples:
      | refusing | answer   |
      | 0        | admitted |
      | 6        | refused  |

  Scenario: No stream is refused before any pause was measured
    Then a forecast without observations admits a stream with 1000 in flight

  Scenario Outline: An invalid scenario file is rejected with file, key and expectation
    When the command "lab" is given a file with "<line>"
    Then it ends with code 2 and names "<key>"

    Examples:
      | line                  | key              |
      | streamsPerSecond = -1 | streamsPerSecond |
      | colour = 3            | colour           |

  Scenario: Pauses are measured for each group separately
    Given an entry that has measured pauses of 30 ms in one group of 4 targets and of 400 ms in another
    Then a stream may go to targets of the even group only

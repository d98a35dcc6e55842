Feature: Requests with a part in their prompts that crashes targets are refused, and all others are served

  # A part of prompts crashed each target that began to answer a request with it, and no two of these requests were alike. Entries
  # knew requests by caller, path and body alone, so that nothing recognised the part: it took a whole service down as long as it came.
  Scenario Outline: Such requests come every <everyMs> ms: <part>, <disruption>, seed <seed>
    Given 8 entries and <targets> targets, with callers that use 3 tenths of the capacity, seed <seed>
    And the prompts of callers begin with one of 3 parts and go on with one of 15 documents
    When requests that crash targets come every <everyMs> ms for 26 s: "<part>", with "<disruption>"
    Then at most <crashes> targets crash under each part
    And at most 3 of these requests reach targets later than 3 s after the fifth crash
    And from 6 s after the fifth crash, at least 19 in 20 of the other requests are served at the first attempt

    Examples: The same fleet, one part or two, alone and with disruptions
      | part                              | everyMs | targets | crashes | disruption                | seed |
      | one part, after the first         | 1000    | 10      | 2       | no disruption             | 1    |
      | one part, after the first         | 300     | 10      | 5       | no disruption             | 2    |
      | one part, after the first         | 120     | 16      | 5       | no disruption             | 3    |
      | one part, the first               | 300     | 10      | 5       | no disruption             | 4    |
      | one part, always before one other | 300     | 10      | 5       | no disruption             | 5    |
      | two parts, the second 2 s later   | 300     | 10      | 5       | no disruption             | 6    |
      | two parts at once                 | 300     | 10      | 5       | no disruption             | 7    |
      | two parts in one prompt           | 300     | 10      | 5       | no disruption             | 8    |
      | one part, after the first         | 300     | 10      | 5       | all entries start again   | 9    |
      | one part, after the first         | 300     | 10      | 5       | entries start again       | 10   |
      | one part, after the first         | 300     | 10      | 5       | the store away            | 11   |
      | one part, after the first         | 300     | 10      | 5       | links cut                 | 12   |
      | one part, after the first         | 300     | 10      | 5       | targets that crash alone  | 13   |
      | one part, as the answer begins    | 300     | 10      | 5       | no disruption             | 14   |
      | one part, the first               | 120     | 10      | 5       | no disruption             | 15   |
      | one part, to all entries at once  | 1500    | 16      | 9       | no disruption             | 16   |

  # One crash of a rank stops its whole group, so that nothing is answered until the group is formed again.
  Scenario Outline: Such requests come every <everyMs> ms, and all targets are ranks of one group: <part>, <disruption>, seed <seed>
    Given 8 entries and 16 ranks of one group, callers that use 3 tenths, seed <seed>
    And the prompts of callers begin with one of 3 parts and go on with one of 15 documents
    When requests that crash targets come every <everyMs> ms for 40 s: "<part>", with "<disruption>"
    Then at most <crashes> targets crash under each part
    And at most 3 of these requests reach targets later than 3 s after the fifth crash
    And from 6 s after the fifth crash, at least 19 in 20 of the other requests are served at the first attempt

    Examples:
      | part                              | everyMs | crashes | disruption                | seed |
      | one part, after the first         | 1000    | 2       | no disruption             | 21   |
      | one part, after the first         | 300     | 5       | no disruption             | 22   |
      | one part, after the first         | 120     | 5       | no disruption             | 23   |
      | one part, the first               | 300     | 5       | no disruption             | 24   |
      | two parts, the second 2 s later   | 300     | 5       | no disruption             | 25   |
      | one part, after the first         | 300     | 5       | all entries start again   | 26   |
      | one part, after the first         | 300     | 5       | the store away            | 27   |

  # Guards against a part being taken for the cause of crashes that it only met.
  Scenario Outline: Targets crash by themselves every <everyMs> ms, and no part is suspected: seed <seed>
    Given 8 entries and 16 targets, with callers that use 3 tenths of the capacity, seed <seed>
    And the prompts of callers begin with one of 3 parts and go on with one of <documents> documents
    When a target crashes for an unrelated reason every <everyMs> ms from second 2 to 32
    Then no part is refused because of a crash
    And in the last 5 seconds at least 19 in 20 callers are served at the first attempt

    Examples:
      | everyMs | documents | seed |
      | 700     | 15        | 31   |
      | 400     | 15        | 32   |
      | 700     | 100000    | 33   |
      | 400     | 100000    | 34   |
      | 400     | 100000    | 35   |
      | 400     | 100000    | 8035 |
      | 400     | 100000    | 18034 |
      | 400     | 100000    | 20035 |
      | 1500    | 300       | 36   |

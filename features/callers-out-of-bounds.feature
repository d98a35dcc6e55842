Feature: Callers cannot make a process outgrow its machine

  An entry of the deploy file has 350 MB and a heap of 160 MB at most. Here the heap has 64 MB, and as much is left beside it: 254 MB in all.
  Of 300 descriptors a tenth must be left for the store, peers, targets and probes.

  # Guards against what callers make a process hold and that is bounded for each of them only, not for all together.
  Scenario Outline: The <program> stays within its machine while callers <form>
    Given the processes of a "<program>" with 64 MB of heap and 2000 descriptors each
    When <count> callers "<form>"
    And the callers leave
    Then an ordinary request is answered
    And each process has used 254 MB at most

    Examples:
      | program          | count | form                                                  |
      | forwarding entry | 70    | stop short of the end of bodies in large chunks       |
      | forwarding entry | 10    | stop short of the end of bodies in chunks of one byte |
      | forwarding entry | 70    | stop short of a stated length                         |
      | forwarding entry | 70    | send whole bodies at once to a slow target            |
      | forwarding entry | 70    | leave within large bodies and come again              |
      | forwarding entry | 20    | send a chunk of one byte in each packet               |
      | forwarding entry | 6     | write bodies ahead                                    |
      | forwarding entry | 10    | write small requests ahead                            |
      | forwarding entry | 30    | write heads of many fields ahead                      |
      | forwarding entry | 1000  | stop within a head of many fields                     |
      | forwarding entry | 1000  | stop within a trailer of many fields                  |
      | forwarding entry | 200   | do not read large answers                             |
      | forwarding entry | 1000  | send nothing                                          |
      | forwarding entry | 20    | send bodies without end to unknown routes             |
      | entry            | 280   | stop short of the end of bodies in large chunks       |
      | entry            | 20    | stop short of the end of bodies in chunks of one byte |
      | entry            | 280   | stop short of a stated length                         |
      | entry            | 280   | send whole bodies at once to a slow target            |
      | entry            | 20    | send a chunk of one byte in each packet               |
      | entry            | 6     | write bodies ahead                                    |
      | entry            | 10    | write small requests ahead                            |
      | entry            | 1000  | stop within a head of many fields                     |
      | entry            | 1000  | do not read large answers                             |
      | forwarding entry | 200   | do not read answers without end in chunks             |
      | forwarding entry | 200   | do not read answers without end of a stated length    |
      | forwarding entry | 200   | do not read events without end                        |
      | entry            | 200   | do not read answers without end in chunks             |
      | entry            | 200   | do not read answers without end of a stated length    |
      | entry            | 200   | do not read events without end                        |

  # Guards against limits on single kinds of misbehaviour that add up.
  Scenario Outline: The <program> stays within its machine while callers misbehave in all ways at once
    Given the processes of a "<program>" with 64 MB of heap and 2000 descriptors each
    When 10 of each kind of these callers come at once
    And the callers leave
    Then an ordinary request is answered
    And each process has used 254 MB at most

    Examples:
      | program          |
      | forwarding entry |
      | entry            |

  # Guards against a body that costs far more than its bytes because of the size of its chunks.
  Scenario Outline: The <program> serves one body within the limits in chunks of one byte
    Given the processes of a "<program>" with 64 MB of heap and 2000 descriptors each
    When 1 callers "send a whole body in chunks of one byte"
    Then the body is answered with status 200
    And each process has used 254 MB at most

    Examples:
      | program          |
      | forwarding entry |
      | entry            |

  # Guards against answers that are not read and keep those of other callers out.
  Scenario Outline: The <program> serves large answers beside callers that do not read theirs
    Given the processes of a "<program>" with 64 MB of heap and 2000 descriptors each
    When 200 callers "do not read large answers"
    Then large answers arrive whole again

    Examples:
      | program          |
      | forwarding entry |
      | entry            |

  # Guards against connections that leave no descriptors for callers, targets, the store and peers.
  Scenario Outline: The <program> has descriptors left while callers <form>
    Given the processes of a "<program>" with 64 MB of heap and 300 descriptors each
    When 400 callers "<form>"
    Then an ordinary request is answered
    And the entry is still ready
    And each process has 270 descriptors open at most

    Examples:
      | program          | form                                       |
      | forwarding entry | send nothing                               |
      | forwarding entry | stop short of a short body                 |
      | entry            | send nothing                               |
      | entry            | stop short of a short body                 |

  # Guards against connections to targets that leave no descriptors for the store and peers.
  Scenario Outline: The <program> has descriptors left while callers wait for a slow target
    Given the processes of a "<program>" with 64 MB of heap and 300 descriptors each
    When 400 callers "wait for a slow target"
    Then the entry is still ready
    And each process has 270 descriptors open at most
    When the callers leave
    Then an ordinary request is answered

    Examples:
      | program          |
      | forwarding entry |
      | entry            |

  # Guards against listeners beside that for callers whose connections nobody counts.
  Scenario Outline: The <program> has descriptors left while the listener for <listener> is filled
    Given the processes of a "<program>" with 64 MB of heap and 300 descriptors each
    When 400 callers of the listener for "<listener>" send nothing
    Then an ordinary request is answered
    And the entry is still ready
    And each process has 270 descriptors open at most

    Examples:
      | program          | listener            |
      | forwarding entry | ready               |
      | forwarding entry | metrics             |
      | forwarding entry | links               |
      | forwarding entry | links of the rank   |
      | forwarding entry | metrics of the rank |
      | entry            | admin               |
      | entry            | links               |
      | entry            | links of the target |
      | entry            | admin of the target |

  # Guards against a planned stop that waits for callers who never finish.
  Scenario Outline: A planned stop of the <program> ends although callers <form>
    Given the processes of a "<program>" with 64 MB of heap and 2000 descriptors each
    When 20 callers "<form>"
    And a caller waits for its answer
    And the entry is asked to stop while the target answers
    Then the entry ends with code 0, and the caller has its answer

    Examples:
      | program          | form                          |
      | forwarding entry | stop short of a stated length |
      | forwarding entry | do not read large answers     |
      | entry            | stop short of a stated length |
      | entry            | do not read large answers     |

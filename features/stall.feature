Feature: Requests to stalled targets and connections are aborted, those to slow ones are not

  Scenario: One connection to a target stalls while the target makes progress on others
    Given two streams at one target, both with their first event
    When one gets an event each 50 ms and the other none, for 2000 ms
    Then only the silent one is aborted, and idle connections to that target are closed

  Scenario: A stream that its caller does not read is not stalled
    Given two streams at one target, both with their first event
    And the caller of the second does not read
    When one gets an event each 50 ms and the other none, for 2000 ms
    Then neither is aborted

  Scenario: A stream that waits for its first event is not stalled
    Given two streams at one target, one with its first event
    When one gets an event each 50 ms and the other none, for 2000 ms
    Then neither is aborted

  Scenario: A target that stops together with its whole service is not stalled
    Given two streams at one target, both with their first event
    When neither gets an event for 2000 ms
    Then neither is aborted

  Scenario Outline: A service is considered stopped when none of its streams makes progress: <streams> silent for <ms> ms
    Given <streams> streams at one target, all with their first event
    When none gets an event for <ms> ms
    Then the service <known> considered stopped

    Examples:
      | streams | ms  | known |
      | 3       | 650 | is    |
      | 3       | 450 | isn't |
      | 2       | 650 | isn't |

  # Guards against an entry that takes a whole service for stopped, and refuses its requests, because its own connections have gone silent.
  Scenario Outline: Streams that all stand still show silent connections, not a stopped service: <evidence>
    Given 4 streams at four targets, all with their first event
    When none gets an event for 650 ms, and "<evidence>"
    Then the service <known> considered stopped
    And <aborted> of them are aborted

    Examples:
      | evidence                               | known | aborted |
      | a peer still reports it as active      | isn't | 4       |
      | the links to peers are silent too      | isn't | 4       |
      | peers report something else            | is    | 0       |
      | a peer reported it as active 250 ms in | is    | 0       |

  # Guards against resuming streams on silent connections one by one, seconds late, and taking their targets for failing.
  Scenario Outline: Streams of several targets that stop at the same time are on silent connections: <stopped> stop within <within> ms, the others go on for <ms> ms
    Given 6 streams at four targets, all with their first event
    When the last <stopped> stop within <within> ms, and the others go on for <ms> ms
    Then <aborted> of them are aborted
    And idle connections from before are closed: <closed>

    Examples:
      | stopped | within | ms  | aborted | closed |
      | 4       | 0      | 500 | 4       | yes    |
      | 4       | 0      | 300 | 0       | no     |
      | 1       | 0      | 500 | 0       | no     |
      | 2       | 300    | 500 | 0       | no     |
      | 6       | 0      | 250 | 0       | yes    |

  # Guards against aborting streams whose events have arrived but have not been read yet.
  Scenario: After a pause of the process, no stream is taken for silent until all have been read
    Given 6 streams at four targets, all with their first event
    When the process is paused for 2000 ms, and the first 2 streams are read 100 ms before the others
    Then 0 of them are aborted

  # Guards against retrying a request on a new connection, which proved to work after the others had gone silent.
  Scenario: Requests on connections that proved to work after the silence are not aborted
    Given 6 streams at four targets, all with their first event
    And a request is sent on a connection opened 200 ms after the last 4 have stopped
    When the last 4 stop within 0 ms, and the others go on for 700 ms
    Then 4 of them are aborted

  Scenario: A service that has become slow is not considered stopped repeatedly
    Given 3 streams at one target, all with their first event
    When each gets an event each 600 ms, 20 times
    Then the service is considered stopped at most 5 times

  Scenario Outline: While one of two groups has stopped, the other gets its requests: stopped <ms> ms ago
    Given a service of two groups, the first of which has stopped <ms> ms ago
    When a caller asks for the service
    Then its request is sent to a target of the second group first

    Examples:
      | ms   |
      | 100  |
      | 1900 |

  Scenario: A group that has been formed again gets requests at once
    Given a service of two groups, the first of which has stopped 100 ms ago
    And the second has stopped as well
    And the first has been formed again
    When a caller asks for the service
    Then its request is sent to a target of the first group first

  Scenario: When all groups of a service have stopped, its callers are refused at once
    Given a service of two groups, the first of which has stopped 100 ms ago
    And the second has stopped as well
    When a caller asks for the service
    Then it is told at once that its request did not run, and when to retry
    And its request is sent to no target

  Scenario: No request of a disconnected caller is sent, not even as a probe of a stopped service
    Given a service that has been down for 5000 ms
    When a caller that retries disconnects before its request is sent
    Then its request is sent to no target

  Scenario: A caller that retries during an outage is refused at once, however long the outage has lasted
    Given a service that has been down for 5000 ms
    When one request has been admitted as a probe
    And a caller retries
    Then its request is sent to no target
    And it is told at once that its request did not run, and when to retry

  Scenario: A probe of a stopped service that reached a target that is gone is replaced by the next request
    Given a service that has been down for 5000 ms
    When one request has been admitted as a probe
    Then the next isn't admitted
    When the first has reached a target that is gone
    Then the next is admitted

  # Guards against ending a request for silence although it can be sent to no other target, as its attempts are used.
  Scenario Outline: Requests that their targets let wait are answered: <requests> to <path> before <targets> targets, with <attempts> attempts, while the entry <stop>
    Given an entry before <targets> paced targets, with <attempts> attempts for a request and a timeout of 6000 ms
    When <requests> requests to "<path>" wait for <events> events of others, and the entry "<stop>"
    Then all of them are answered completely, after <runs> runs each

    Examples:
      | requests | path      | targets | attempts | events | stop            | runs |
      | 3        | /stream/1 | 3       | 2        | 60     | is told to stop | 2    |
      | 3        | /stream/1 | 3       | 2        | 60     | serves          | 2    |
      | 1        | /stream/1 | 2       | 2        | 90     | is told to stop | 2    |
      | 1        | /stream/1 | 1       | 2        | 90     | serves          | 1    |
      | 3        | /stream/1 | 3       | 1        | 60     | is told to stop | 1    |
      | 1        | /read/1   | 1       | 2        | 120    | serves          | 1    |

  # Guards against ending a request that the retry budget does not allow to be sent again.
  Scenario: Streams that their targets let wait are answered although the retry budget is spent
    Given a retry budget of none
    And an entry before 3 paced targets, with 2 attempts for a request and a timeout of 6000 ms
    When 3 requests to "/stream/1" wait for 60 events of others, and the entry "is told to stop"
    Then all of them are answered completely, after 1 run each

  # Guards against a request that is never moved from a silent connection since that was not possible at first.
  Scenario: A silent stream is moved as soon as another attempt is possible
    Given two streams at one target, both with their first event
    And no other attempt is possible
    When one gets an event each 50 ms and the other none, for 2000 ms
    Then 0 of them are aborted
    And its connection has been reported as silent once
    When another attempt is possible
    And one gets an event each 50 ms and the other none, for 50 ms
    Then 1 of them is aborted

  # Guards against a request that is moved for a silence that is over.
  Scenario: A silence that could not be acted on is over with the next event
    Given two streams at one target, both with their first event
    And no other attempt is possible
    When one gets an event each 50 ms and the other none, for 1500 ms
    And the silent one gets an event
    And another attempt is possible
    And one gets an event each 50 ms and the other none, for 500 ms
    Then 0 of them are aborted

  # Guards against moving a request that was just sent, for the silence of another one that could not be moved.
  Scenario: A request is not moved for the silence of an earlier one at its target
    Given a stream at each of two targets, of which only the first makes progress, for 1500 ms
    When another request is sent to the second, and 500 ms pass
    Then 1 of them is aborted

  # Guards against moving requests again and again when several targets let them wait at once.
  Scenario Outline: Streams that were moved and stop at the same time are moved again only after a longer silence: <ms> ms
    Given 6 streams at four targets that were moved there, all with their first event
    When the last 4 stop within 0 ms, and the others go on for <ms> ms
    Then <aborted> of them are aborted

    Examples:
      | ms   | aborted |
      | 1400 | 0       |
      | 1700 | 4       |

  # Guards against ending a stream for the silence of its caller.
  Scenario: Of streams that stop at the same time, those whose callers do not read are not on silent connections
    Given 6 streams at four targets, all with their first event
    And the callers of the last 2 do not read
    When the last 4 stop within 0 ms, and the others go on for 500 ms
    Then 2 of them are aborted

  # Guards against refusing the requests of a service since some callers do not read.
  Scenario: A service whose callers do not read is not considered stopped
    Given 3 streams at one target, all with their first event
    And the callers of the last 3 do not read
    When none gets an event for 650 ms
    Then the service isn't considered stopped

  # Guards against refusing the requests of a service for streams that are known to be on silent connections.
  Scenario: Streams on silent connections that cannot be moved do not show that their service has stopped
    Given 4 streams at four targets, all with their first event
    And no other attempt is possible
    When none gets an event for 650 ms, and "the links to peers are silent too"
    And none gets an event for 650 ms, and "peers report something else"
    Then the service isn't considered stopped

  # Guards against moving a request that has only just been sent, before its target can have answered.
  Scenario: A request that was just sent on a connection used before is not moved yet
    Given 6 streams at four targets, all with their first event
    And a request is sent 300 ms after the last 4 have stopped, on a connection used before
    When the last 4 stop within 0 ms, and the others go on for 450 ms
    Then 4 of them are aborted

  # Guards against moving a request from target to target, each of which lets its newest request wait.
  Scenario Outline: A stream that was moved because of silence is moved again only after a longer one: <ms> ms
    Given two streams at one target, both with their first event
    And two more streams there that were moved from a silent target
    When one gets an event each 50 ms and the other none, for <ms> ms
    Then <aborted> of them are aborted

    Examples:
      | ms   | aborted |
      | 1400 | 1       |
      | 1700 | 3       |

  # Guards against a request that waits for good once its silence ends it no more.
  Scenario Outline: A request to <path> on a connection that stays silent, with no other attempt, ends at its deadline
    Given an entry before 1 paced target, with 2 attempts for a request and a timeout of 2000 ms
    When 1 request to "<path>" waits for 1000 events of others, and the entry "serves"
    Then none of them is answered, and each ends at its deadline

    Examples:
      | path      |
      | /stream/1 |
      | /read/1   |

Feature: Streams that outlive their target

  # A stream that can't be resumed broke whenever its engine ended or was cut off.
  Scenario Outline: A stream continues at the copy of its run
    Given engines with copies and a route that can't be resumed
    When the target of a stream <fault> after <events> events
    Then the caller gets each event once
    And the copy's engine is asked once, from the event after the last complete one
    And the budget is charged for the prompt once and for each event once

    Examples:
      | fault     | events |
      | crashes   | 1      |
      | crashes   | 3      |
      | is reset  | 3      |
      | hangs     | 3      |

  # No part of a run was sent before its first event. The engine that is asked for the
  # copy may lose answers too, and has then run the request a second time.
  Scenario: A stream that has not begun isn't continued
    Given engines with copies and a route that can't be resumed
    When the target of a stream crashes after 0 events
    Then no other target gets the request

  # A silent target without a copy would lose a stream that may yet go on.
  Scenario: A stream whose copy is unknown waits for its silent target
    Given engines without copies and a route that can't be resumed
    When the target of a stream hangs after 3 events
    Then the connection to the target stays open until the deadline

  # A request that its target lost waited until its deadline.
  Scenario Outline: A stream that can be resumed leaves a silent target
    Given engines without copies and a route that can be resumed at 2 targets
    When the first target hangs <when>, and 0 others do
    Then the caller gets each event once
    And the first event came within 2 seconds and no gap was longer than 1 second
    And the connection to the silent target is closed before the next target is asked

    Examples:
      | when              |
      | before its head   |
      | after 0 events    |
      | after 3 events    |

  # More targets than the route allows would run one request.
  Scenario: A stream that can be resumed waits at its last target
    Given engines without copies and a route that can be resumed at 2 targets
    When the first target hangs before its head, and 1 others do
    Then 2 targets got the request
    And the request fails at its deadline

  # Leaving silent targets must not exceed the retries that the fleet may send.
  Scenario: A stream waits for its silent target when no retries are left
    Given engines without copies and a route that can be resumed at 2 targets
    And routers that may not retry
    When the first target hangs before its head, and 0 others do
    Then 1 targets got the request
    And the request fails at its deadline

  # A limit below what pace and route explain would break streams that go on.
  Scenario Outline: The limit of silence covers the route and the pace of the engine
    When the longest pause is <pause>, the objective <objective>, the usual gap <gap> and the estimated start <start>
    Then a target is silent after <within> within a stream and <before> before it

    Examples:
      | pause | objective | gap   | start | within | before |
      | 0.4   | 0.5       | none  | none  | 0.4    | 1.5    |
      | 0.4   | 0.5       | 0.025 | 0.1   | 0.4    | 0.5    |
      | 0.1   | 0.5       | 0.025 | 0.3   | 0.2    | 0.9    |
      | 0     | 0.5       | 0.025 | 0.3   | 0.5    | 0.9    |
      | 0     | 0         | none  | none  | none   | none   |

  # A second prompt for each late first event would add to an overload.
  Scenario: Where most first events are late, few targets count as silent
    When one first event in 20 takes longer than 2 s
    Then with an objective of 0.5 s a target is silent after 3 s

  # Repeating such a request without a copy would run it twice.
  Scenario Outline: A stream without its copy ends, and no third target runs it
    Given engines with copies and a route that can't be resumed
    When the target of a stream crashes after 3 events and <loss>
    Then the caller gets 3 events and a broken stream
    And at most two targets got the request
    And the missing copy is logged

    Examples:
      | loss                        |
      | the copy is gone            |
      | the copy's engine too       |

  # A second fault within a stream must not stop it while another copy exists.
  Scenario: A stream continues twice, and no more
    Given engines with copies and a route that can't be resumed
    When each target of a stream crashes after 2 events of its own
    Then the caller gets 6 events and a broken stream
    And 3 targets got the request

  # An event that is missing, doubled or of another run must not reach the caller.
  Scenario Outline: Events that don't follow the last one aren't passed on
    Given engines with copies and a route that can't be resumed
    When the target of a stream crashes after 3 events and the ids of its copy are off by <offset>
    Then the caller gets 3 events and a broken stream

    Examples:
      | offset |
      | 1      |
      | -1     |
      | 100    |

  # An answer of another run must not be taken for the rest of the stream.
  Scenario: The answer of another run isn't passed on
    Given engines with copies and a route that can't be resumed
    When the target of a stream crashes after 3 events and its copy answers for another run
    Then the caller gets 3 events and a broken stream

  # A run that nobody waits for must not occupy an engine.
  Scenario: A caller disconnects while its stream continues
    Given engines with copies and a route that can't be resumed
    When the target of a stream crashes after 3 events and its caller disconnects
    Then no copy is counted as in flight

  # Copies must not change anything before they are switched on.
  Scenario: Without the feature no copy is made
    Given engines with copies and routers that don't use them
    When the target of a stream crashes after 3 events
    Then the caller gets 3 events and a broken stream
    And no request names a copy

  # A promise that a request didn't run must not be followed by a request for its copy.
  Scenario: A rejected request is sent to another target without naming a copy
    Given engines with copies and a route that can't be resumed
    When the first target of a stream rejects it
    Then the caller gets each event once
    And no target is asked for a copy

  # Copies that don't fit would delay the requests that engines run themselves.
  Scenario Outline: An engine is selected for a copy
    Given an engine with a stream, and others that are <others>
    When a backup is selected for the stream
    Then engine <chosen> gets the copy of the stream

    Examples:
      | others                             | chosen |
      | near idle, far idle                | 2      |
      | near idle                          | 1      |
      | near idle, far busy, far idle      | 3      |
      | near idle, far crowded             | 1      |
      | near idle, far leaving             | 1      |
      | near idle, far silent              | 1      |
      | near idle, far paused              | 1      |
      | near idle, far failed              | 1      |
      | far full of copies, near idle      | 2      |
      | far crowded, near leaving          | none   |

  # Without a bound, copies would take the link that engines need for their cache.
  Scenario: Copies in flight are bounded for each source and in total
    Given an engine with a stream, and others that are far idle
    When copies begin until no backup is selected
    Then the copies of the source take half of the objective on its link
    And another source may not exceed the total

  # A copy of a stream that ends first only costs the link and the memory of engines.
  Scenario Outline: Only streams that need a copy get one
    When a copy is planned for a stream that is <stream>
    Then the plan for the stream is <result>

    Examples:
      | stream                        | result  |
      | not resumable                 | a copy  |
      | resumable                     | no copy |
      | shorter than its copy         | no copy |
      | without an id                 | no copy |
      | of engines without copies     | no copy |

  # Callers that name a copy could read the memory of others' runs.
  Scenario: Requests name copies, and names that callers send aren't forwarded
    When a request with names of copies is encoded with and without a copy
    Then only the router's names are in it

  # A copy that engines don't offer must not be asked for.
  Scenario: The operators' record says whether engines hold copies, and how long
    When records with and without copies are decoded
    Then copies last 2 seconds, 5 seconds by default, and are off unless given

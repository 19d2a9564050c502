Feature: Serving requests

  Scenario: A stream is forwarded completely and without delay
    Given a router and targets "whole stream"
    When a caller sends a streaming request
    Then the caller gets 200 and the events 1 to 3, and the answer ends
    And the target got the request without the key, and with the workspace's name

  Scenario: A broken stream is resumed at another target
    Given a router and targets "broken stream, rest of the stream"
    When a caller sends a streaming request
    Then the caller gets 200 and the events 1 to 3, and the answer ends
    And the second target got the last event id 1

  Scenario: A broken stream that may not be resumed is not terminated as complete
    Given a router and targets "broken stream"
    When a caller sends a streaming request to the route "once"
    Then the caller's answer isn't terminated as complete

  Scenario: A request with a truncated answer is retried on an idempotent route
    Given a router and targets "truncated, whole answer"
    When a caller sends a plain request to the route "idempotent"
    Then the caller gets 200 and the body "hello"

  Scenario: A request that may have been executed is not retried if it may run only once
    Given a router and targets "truncated, whole answer"
    When a caller sends a plain request to the route "plain-once"
    Then the caller gets 502 without the target's signature
    And the targets got 1 requests

  Scenario: A rejected request is sent to another target
    Given a router and targets "rejected, whole answer"
    When a caller sends a plain request to the route "plain-once"
    Then the caller gets 200 and the body "hello"

  Scenario: A request that all targets reject is refused with a retry delay
    Given a router and targets "rejected, rejected, rejected"
    When a caller sends a plain request to the route "plain-once"
    Then the caller gets 503 with a retry delay

  Scenario: A late answer to another request is not forwarded
    Given a router and targets "late answer before whole answer"
    When a caller sends a plain request to the route "idempotent"
    Then the caller gets 200 and the body "hello"

  Scenario: An answer without a signature is not accepted as a success
    Given a router and targets "unsigned, whole answer"
    When a caller sends a plain request to the route "idempotent"
    Then the caller gets 200 and the body "hello"

  Scenario: The run of a caller that disconnects is cancelled
    Given a router and targets "slow stream"
    When a caller sends a streaming request and disconnects after the first event
    Then the target's run is cancelled

  Scenario: A router without a catalogue refuses requests with a retry delay
    Given a router without a catalogue
    When a caller sends a plain request to the route "idempotent"
    Then the caller gets 503 with a retry delay

  Scenario: Requests with an unknown key or route are refused
    Given a router and targets "whole answer"
    When a caller sends requests with an unknown key and to an unknown route
    Then the caller gets 401 and 404

  Scenario: Bytes that could be parsed as a second request never reach a target
    Given a router and targets "whole answer"
    When callers send 60 generated requests with ambiguous framing
    Then each target got only requests that the router had parsed

  Scenario: A request exceeds the time limit of its route
    Given a router and targets "silent"
    When a caller sends a plain request to the route "hasty"
    Then the caller gets 504 without the target's signature

  Scenario: A stopping router answers a request whose body is still arriving
    Given a router and targets "whole answer"
    When a caller sends part of a request, the router stops, and the rest follows
    Then the caller gets 200 and the body "hello"

  Scenario: A request that waits for its tokens is in flight
    Given a router whose callers prepay, and targets "whole answer"
    When a request waits for its tokens
    Then the router counts it as in flight

Feature: Answers with neither a length nor chunks

  # An answer that ends with its connection is whole only if the connection was closed.
  Scenario Outline: A body with neither a length nor chunks ends with its connection
    Given a router and targets "<answer>"
    When a caller sends a plain request to the route "plain-once"
    Then the caller gets 200 and the body "hello"

    Examples:
      | answer                  |
      | unframed                |
      | interim before unframed |

  Scenario: A body with neither a length nor chunks is broken by a reset
    Given a router and targets "unframed that is reset"
    When a caller sends a plain request to the route "plain-once"
    Then the caller gets 502 without the target's signature

  Scenario: A stream with neither a length nor chunks ends with its connection
    Given a router and targets "unframed stream"
    When a caller sends a streaming request
    Then the caller gets 200 and the events 1 to 3, and the answer ends

  Scenario Outline: A stream with neither a length nor chunks that breaks goes on elsewhere
    Given a router and targets "<answer>, rest of the stream"
    When a caller sends a streaming request
    Then the caller gets 200 and the events 1 to 3, and the answer ends
    And the second target got the last event id 1

    Examples:
      | answer                          |
      | unframed stream within an event |
      | unframed stream that is reset   |

  Scenario Outline: A broken stream with neither a length nor chunks isn't complete
    Given a router and targets "<answer>"
    When a caller sends a streaming request to the route "once"
    Then the caller's answer isn't terminated as complete

    Examples:
      | answer                          |
      | unframed stream within an event |
      | unframed stream that is reset   |

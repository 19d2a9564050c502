Feature: Answers that are broken, or no answers

  # The end of the answer, before the reset that the upload met, made it look complete.
  Scenario: An answer without a length that ends while the upload is sent isn't complete
    Given a router and targets "unframed before the upload is read"
    When a caller sends an upload of 4 MB to the route "plain-once"
    Then the caller gets 502 without the target's signature

  Scenario: An upload that may run twice is sent on after such an answer
    Given a router and targets "unframed before the upload is read, whole answer"
    When a caller sends an upload of 4 MB to the route "idempotent"
    Then the caller gets 200 and the body "hello"

  Scenario: A stream without a length that ends while the upload is sent isn't complete
    Given a router and targets "unframed stream before the upload is read"
    When a caller sends an upload of 4 MB to the route "once"
    Then the caller's answer isn't terminated as complete

  Scenario: An answer without a length that follows the whole upload is complete
    Given a router and targets "unframed"
    When a caller sends an upload of 4 MB to the route "plain-once"
    Then the caller gets 200 and the body "hello"

  # Those below 200 passed for interim answers, and the caller waited for its deadline.
  Scenario Outline: An answer with a status that HTTP doesn't have is no answer
    Given a router and targets "status <status>"
    When a caller sends a plain request to the route "plain-once"
    Then the caller gets 502 without the target's signature

    Examples:
      | status |
      | 000    |
      | 099    |
      | 600    |
      | 999    |
      | 1000   |

  Scenario: A request that may run twice is sent on after a status that HTTP doesn't have
    Given a router and targets "status 000, whole answer"
    When a caller sends a plain request to the route "idempotent"
    Then the caller gets 200 and the body "hello"

  # A head that breaks off is no answer, whatever the connection has carried before it.
  Scenario Outline: An answer that breaks off within its head is no answer
    Given a router and a target that <ending> within heads with <framing>
    When callers send requests to the route "<route>", each after one that is answered
    Then each request whose answer breaks off gets 502

    Examples:
      | ending | framing              | route      |
      | closes | a length             | plain-once |
      | resets | a length             | idempotent |
      | closes | chunks               | once       |
      | resets | chunks               | stream     |
      | closes | no framing           | idempotent |
      | resets | no framing           | plain-once |
      | closes | no framing, a stream | stream     |
      | resets | no framing, a stream | once       |

Feature: Kept connections whose other end closes them

  Scenario Outline: A connection whose end lies unread isn't used for a request
    Given a kept connection to a <peer>
    When the <peer> <closes> it while this process is held up, and a request is due
    Then the request isn't sent on that connection

    Examples:
      | peer   | closes |
      | target | closes |
      | target | resets |

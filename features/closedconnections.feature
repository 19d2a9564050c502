Feature: Kept connections whose other end closes them

  Scenario Outline: A connection whose end lies unread isn't used for a request
    Given a kept connection to a <peer>
    When the <peer> <closes> it while this process is held up, and a request is due
    Then the request isn't sent on that connection

    Examples:
      | peer   | closes |
      | target | closes |
      | target | resets |

  Scenario: No request crosses the end of an idle connection
    When callers send again after rests of 15.98 to 16.02 seconds
    Then each of their requests is answered

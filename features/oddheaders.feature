Feature: An odd value in a request or an answer concerns that request alone

  Scenario Outline: A request whose <header> is <odd> is invalid
    When a request whose <header> is <odd> is sent, and the next one on its connection
    Then the first one is refused as invalid, and the second one is served
    And no request has caused an error in the router

    Examples:
      | header        | odd                          |
      | Deadline-Ms   | a number of 400 digits       |
      | Deadline-Ms   | -5                           |
      | Deadline-Ms   | 1_000                        |
      | Token-Usage   | a number of 400 digits       |
      | Token-Usage   | -1000000,1                   |
      | Token-Usage   | 5,-1000000                   |
      | Prompt-Prefix | a:-5,b:10                    |
      | Prompt-Prefix | parts of 400 digits          |
      | Last-Event-Id | -1                           |
      | Last-Event-Id | a number of 400 digits       |

  Scenario: A negative number of tokens gives no room in a budget
    When a request of -1000000 tokens is running, and one of more tokens than are left arrives
    Then the second one is refused, and reaches no target

  Scenario: A stream is passed on whose events have ids of 5000 digits
    When a target streams events with ids of 5000 digits
    Then the caller gets the whole stream, also on a route whose streams resume
    And no request has caused an error in the router

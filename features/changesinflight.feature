Feature: Requests in progress beside changes of the catalogue

  Scenario Outline: A stream is charged in full although a version <change> meanwhile
    When a version <change> in the middle of a stream whose events hold up to 5 tokens
    Then the stream is whole, and its prompt and <tokens> tokens for each event are charged

    Examples:
      | change                  | tokens |
      | drops the service       | 5      |
      | lowers the token number | 5      |
      | raises the token number | 9      |

Feature: Uploads are refused as soon as their head tells that they will be

  Scenario Outline: An upload that can't be served is refused before it has arrived
    Given a router and targets "whole answer"
    When a caller sends the head of an upload of <size> bytes <detail>
    Then it is refused with <status> and the reason <reason>
    And the targets got 0 requests

    Examples:
      | size    | detail                    | status | reason      |
      | 1000000 | with an unknown key       | 401    | unknown_key |
      | 1000000 | to no route               | 404    | no_route    |
      | 5000000 | to the route "once"       | 413    | invalid     |
      | 5000000 | that waits for a go-ahead | 413    | invalid     |

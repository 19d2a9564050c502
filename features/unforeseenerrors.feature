Feature: Errors that nobody foresaw

  Scenario Outline: A whole request gets an answer although <where> fails
    When <where> fails for a request of kind <kind>, and the next one is sent on the same connection
    Then the caller gets "<outcome>", and <runs> requests reach the target for it
    And the next request is served
    And the log names the request and the error
    And no tokens stay reserved, and <charged> tokens are charged for it

    Examples:
      | where                  | kind       | outcome | runs | charged |
      | reading its metadata   | once       | 503     | 0    | 0       |
      | admission              | once       | 503     | 0    | 0       |
      | choosing a target      | once       | 503     | 0    | 0       |
      | choosing a target      | stream     | 503     | 0    | 0       |
      | recording the send     | once       | 503     | 0    | 0       |
      | writing to the target  | once       | 502     | 0    | 0       |
      | reading the answer     | once       | 502     | 1    | 0       |
      | reading the answer     | idempotent | 502     | 1    | 0       |
      | splitting a stream     | stream     | broken  | 1    | 0       |
      | recording the answer   | once       | 200     | 1    | 0       |
      | counting the tokens    | stream     | 200     | 1    | 13      |
      | counting after a wait  | once       | 504     | 1    | 13      |

  Scenario: The body of a request is refused if identifying its workspace fails
    When identifying the workspace fails for a request with a long body
    Then the caller gets "503", and 0 requests reach the target for it
    And its id stands in the log

  Scenario: A record that breaks its decoder affects no other record
    When the decoders fail for one of two entries of targets, and for the second of three catalogues
    Then the other target is listed, the third catalogue is in force, and both refusals are logged

  Scenario: A subscriber that fails once to apply a change gets it again
    When a subscriber fails to apply its first change
    Then it gets a listing with the change, and the watch goes on

  Scenario Outline: An unforeseen error beside <place> concerns nothing else
    When an unforeseen error is raised beside <place>
    Then <rest>

    Examples:
      | place                     | rest                                       |
      | the count of a prompt     | the target counts no request as running    |
      | the wait for a target     | the send to it is cancelled                |
      | a loan                    | the tokens held before are still there     |
      | the entry of a target     | changes of other entries are followed      |
      | a decision of the queue   | the other waiting requests are sent        |
      | the plans of a stop       | the stop is planned all the same           |

Feature: The load tool measures latency and answers of callers

  Scenario Outline: An invalid configuration is refused, naming the field
    Given a load's configuration in which <field> is <invalid>
    When the load tool is started with it
    Then it exits with code 2 and names "<field>"

    Examples:
      | field          | invalid        |
      | rate           | -1             |
      | answers.median | 0              |
      | token_rate     | 5              |
      | routers.0      | "router:80"    |

  Scenario: The time of a server stall counts for each request that is due in it
    Given an engine that is frozen
    When 10 requests are due within 1 second and it is unfrozen after 2
    Then 10 answers are complete and none took less than 1 second

  Scenario: A request that the tool sends late is timed from its due time
    Given a running engine
    When a request is sent 5 seconds after it was due
    Then its answer took more than 5 seconds

  Scenario: The answer check detects truncated and crossed answers
    Given the engine's streamed answer of 5 tokens
    Then the answer check returns Whole
    And without its last event the answer check returns Truncated
    And without a word in the middle the answer check returns Crossed
    And against another prompt the answer check returns Crossed

  Scenario: The seed determines the requests and their times
    Then two draws with seed 7 are equal and one with seed 8 differs

  Scenario: A breach of a bound names the figure
    Given bounds of 1.5 for router_chunk and 0 for not_whole
    Then figures of 1.4 and 0 are within the bounds
    And figures of 1.6 and 0 breach only router_chunk
    And a figure that was not measured is a breach

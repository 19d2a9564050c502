Feature: The load tool tells what callers met

  Scenario Outline: A wrong configuration is refused with the field named
    Given a load's configuration in which <field> is <wrong>
    When the load tool is started with it
    Then it ends with code 2 and names "<field>"

    Examples:
      | field          | wrong          |
      | rate           | -1             |
      | answers.median | 0              |
      | token_rate     | 5              |
      | routers.0      | "router:80"    |

  Scenario: The wait for a stalled server counts for each request meant in it
    Given an engine that is frozen
    When 10 requests are meant to come within 1 second and it thaws after 2
    Then 10 answers are whole and none took less than 1 second

  Scenario: A request that the tool itself sends late is timed from its due time
    Given an engine that serves
    When a request is sent 5 seconds after it was due
    Then its answer took more than 5 seconds

  Scenario: Truncated and crossed answers are told from whole ones
    Given the engine's streamed answer of 5 tokens
    Then the check calls it Whole
    And without its last event the check calls it Truncated
    And without a word in the middle the check calls it Crossed
    And against another prompt the check calls it Crossed

  Scenario: The seed alone decides what is asked and when
    Then two draws with seed 7 are equal and one with seed 8 differs

  Scenario: A breach of a bound is named
    Given bounds of 1.5 for router_chunk and 0 for not_whole
    Then figures of 1.4 and 0 breach nothing
    And figures of 1.6 and 0 breach router_chunk only
    And a figure that was not measured is a breach

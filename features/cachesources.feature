Feature: Cached parts of prompts that engines fetch from each other

  Scenario Outline: An engine fetches parts from the engine that caches most of the prompt
    Given engines that cache "<cached>" of the parts A, B and C, with 2000 tokens each
    When engine 0 is chosen for the prompt "<prompt>"
    Then it fetches parts from engine <source>

    Examples:
      | cached         | prompt | source |
      | none, A, A B   | A B x  | 2      |
      | A, A B, none   | A B x  | 1      |
      | A B, A B C, A  | A B x  | none   |
      | none, B C, A   | A B x  | 2      |
      | none, A, none  | x      | none   |

  Scenario: An engine fetches from a preferred engine that this router hasn't sent to
    Given engines that cache "none, none, none" of the parts A, B and C, with 2000 tokens each
    When each engine is chosen for 50 prompts
    Then each that isn't the preferred one of a prompt fetches parts from that one
    And the preferred one fetches parts from another one

  Scenario: An engine doesn't fetch parts from one that has failed lately
    Given engines that cache "none, A, A B" of the parts A, B and C, with 2000 tokens each
    And engine 2 has failed
    When engine 0 is chosen for the prompt "A B x"
    Then it fetches parts from engine 1

  Scenario: Few tokens are read rather than fetched
    Given engines that cache "none, A B, none" of the parts A, B and C, with 200 tokens each
    When engine 0 is chosen for the prompt "A B x"
    Then it fetches parts from engine none

  Scenario: Engines that copy slower than they read fetch nothing
    When operators' records say how fast engines copy the memory of tokens
    Then those fetch that copy a token in 5 microseconds at most, and no others

  Scenario: A request names the engine to fetch from
    When a request is encoded for a target with and without a source of cached parts
    Then only the first one names its address
    And a name that the caller sends is not forwarded

  Scenario: Prompts that share parts begin sooner where engines fetch them
    When a minute of long prompts with shared parts is placed on engines that may fetch
    Then fewer shared tokens are read again than on engines that don't
    And nine in ten first tokens come sooner than on engines that don't

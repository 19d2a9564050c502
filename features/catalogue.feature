Feature: The catalogue
  Operators change the catalogue, budgets and targets by compare and swap. An
  accepted change takes effect once, is seen everywhere and never reverts.

  Background:
    Given a key-value service for operators

  Scenario: Two operators race on the same entry
    When two operators put model "acoustics" at the same revision 10 times
    Then each time one succeeds and one gets EntryConflict with the present revision
    And the history of model "acoustics" holds 11 versions, each with another change id

  Scenario: Two operators race for the same bearer key
    When two operators put workspaces with the same bearer key at once
    Then one succeeds and one is refused for its field "keys.0.hash"
    And the catalogue finds the key's workspace in the one that succeeded

  Scenario: An answer is lost after the write took effect
    Given the service will lose 1 answers
    When an operator puts model "acoustics"
    Then the operator gets its revision, and the service saw one write of model "acoustics"

  Scenario: An answer is lost and another operator's change follows at once
    When an operator's answer is lost and another operator changes the entry before it reads back
    Then the first operator gets the revision of its own write
    And the other operator's change stands

  Scenario Outline: What is known of a failed call
    When a client writes while <fault>
    Then it gets <write error>, and a read meanwhile gets <read error>

    Examples:
      | fault                         | write error         | read error       |
      | the service refuses calls     | StoreUnavailable    | StoreUnavailable |
      | nobody listens                | StoreUnavailable    | StoreUnavailable |
      | the service closes its calls  | StoreOutcomeUnknown | StoreUnavailable |
      | the service is too slow       | StoreOutcomeUnknown | StoreUnavailable |
      | the answer of a write is lost | StoreOutcomeUnknown | nothing wrong    |

  Scenario: A dead endpoint is passed over
    Then a new client whose first endpoint does not listen can read, write and watch at once

  Scenario: A lease that lapsed is known to its holder
    Then a lease can be kept until it lapses, and then neither kept nor written with

  Scenario: A top-up counts once for each id
    Given workspace "tengeri" with the class "standard"
    And the service will lose 2 answers
    When the budget of "tengeri" is topped up by 1000 tokens with id "invoice-1" 3 times
    And the budget of "tengeri" is topped up by 1000 tokens with id "invoice-2" 1 times
    Then the budget of "tengeri" holds 2000 tokens
    And a top-up of "tengeri" by 999 tokens with id "invoice-1" is a TopUpConflict
    And a top-up of "tengery" by 1000 tokens with id "invoice-3" is an EntryMissing

  Scenario: A bad entry is refused whole
    Then each of these entries is refused for its field because of the reason
      | kind      | document                                                                                                                                             | field                 | reason                   |
      | model     | {"name": "m", "owner": "o", "limits": {"max_tokens": 0}}                                                                                             | limits.max_tokens     | greater than 0           |
      | model     | {"name": "a/b", "owner": "o"}                                                                                                                        | name                  | match pattern            |
      | model     | {"name": "m"}                                                                                                                                        | owner                 | required                 |
      | model     | {"name": "m", "owner": "o", "limit": {}}                                                                                                             | limit                 | Unexpected               |
      | workspace | {"name": "w", "owner": "o", "weight": "2"}                                                                                                           | weight                | valid number             |
      | workspace | {"name": "w", "owner": "o", "class": "gold"}                                                                                                         | class                 | there is no class gold   |
      | service   | {"name": "s", "owner": "o", "path_prefix": "/v1/x"}                                                                                                  | path_prefix           | kept for the completions |
      | target    | {"name": "t", "owner": "o", "serves": ["m"], "failure_domain": "shah", "agent_address": "10.0.0.1:7000", "target_address": "10.0.0.1:8000"}          | serves                | there is no model m      |
      | target    | {"name": "t", "owner": "o", "serves": ["m"], "failure_domain": "shah", "agent_address": "agent.local:7000", "target_address": "10.0.0.1:8000"}       | agent_address         | match pattern            |
      | model     | {"name":                                                                                                                                             |                       | Invalid JSON             |
    And the service saw no write at all

  Scenario: A target is drained while another operator edits it
    Given target "engine-1" serving model "acoustics"
    When an operator drains it, and another one gives it 99 slots as soon as the first has read it
    Then the target is draining and has 99 slots

  Scenario: An entry that others refer to is not removed
    Given target "engine-1" serving model "acoustics"
    Then removing model "acoustics" is refused because "target/engine-1"
    And after target "engine-1" is removed model "acoustics" can be removed

  Scenario: Old news never reverts a catalogue
    Then any order of news, repeated or relayed by peers that lag, ends in the same catalogue

  Scenario: A watch is cut and misses no change
    Given a follower of the catalogue
    When 40 models are put while the watch is cut 4 times
    Then the follower has seen each of the 40 changes once and in order

  Scenario: A watch is compacted and misses no change
    Given a follower of the catalogue
    When the follower is cut off while 5 models are put, 1 is removed and all is compacted
    Then the follower reads anew and knows what the service knows

  Scenario: A watch goes silent while its connection stays open
    Given watches count as silent after 2 seconds
    And a follower of the catalogue
    When the service holds back its news and 1 models are put
    Then the follower gives 2 watches up and sees the change on the next

  Scenario: A document that was read, edited and put back
    Then the commands print JSON, and a file put twice ends with exit code 11

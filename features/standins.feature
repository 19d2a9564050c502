Feature: The stand-ins behave as the platform does

  Scenario: A transaction on an old revision changes nothing
    Given a stand-in of the store in which "balance" is "10"
    And another writer sets the key "balance" to "7"
    When the key "balance" is set to "9" on the condition of its first revision
    Then the transaction did not succeed and showed "7"
    And the key "balance" is "7"

  Scenario: A write whose answer is lost has taken effect
    Given a stand-in of the store in which "balance" is "10"
    And the store loses the next answer to a write
    When the key "balance" is set to "6"
    Then no answer came
    And the key "balance" is "6"
    And the history shows "10, 6" for "balance"

  Scenario: An expired lease removes its keys
    Given a stand-in of the store in which "balance" is "10"
    And the key "session" is "open" under a lease of 60 seconds
    When all leases expire
    Then the key "session" is missing
    And the key "balance" is "10"
    And renewing the lease shows that it has expired

  Scenario: A lease that is not renewed expires by itself
    Given a stand-in of the store in which "balance" is "10"
    And the key "session" is "open" under a lease of 1 seconds
    Then the key "session" disappears by itself

  Scenario: A watch replays from a revision and reports compaction
    Given a stand-in of the store in which "balance" is "10"
    And another writer sets the key "balance" to "7"
    When a watch on "balance" starts at its first revision
    Then the watch reports "10, 7"
    When another writer sets the key "balance" to "5"
    Then the watch reports "5"
    When the store is compacted at its last revision
    And a watch on "balance" starts at its first revision
    Then the watch is cancelled with that compaction

  Scenario: The engine gives the same answer with and without streaming
    Given a stand-in of the engine
    When it is asked "what dampens low notes answer_tokens=5" with and without streaming
    Then both answers are the 5 words determined by the prompt
    And both usages are 5 prompt and 5 answer tokens
    And its run log shows two finished runs of 5 tokens

  Scenario: The service counts a run whose answer is lost
    Given a stand-in of the service that breaks off its next answer
    When the same call is sent twice
    Then the first call has no answer
    And the service counts two runs of the call

  Scenario: A relay silences old connections while new ones work
    Given a stand-in of the engine
    And an answer of 400 tokens that streams through a relay
    When the relay silences the open connections
    Then the stream receives no more data
    And a new connection through the relay receives a complete answer

  Scenario: The start timeout excludes the wait for a processor
    Given a program that becomes ready after the start timeout
    When it is started on a machine where it waits for a processor
    Then the start succeeds

  Scenario: A start that exceeds its timeout fails
    Given a program that becomes ready after the start timeout
    When it is started on a machine with idle processors
    Then the start fails and the program has ended

  Scenario: A paused program ends when it is stopped
    Given a stand-in of the engine
    And an answer of 400 tokens that streams through a relay
    When the engine is paused and then stopped
    Then it has ended with code 0

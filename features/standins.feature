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

  Scenario: A lease that lapses takes its keys along
    Given a stand-in of the store in which "balance" is "10"
    And the key "session" is "open" under a lease of 60 seconds
    When all leases lapse
    Then the key "session" is missing
    And the key "balance" is "10"
    And renewing the lease shows that it is gone

  Scenario: A lease that is not renewed lapses by itself
    Given a stand-in of the store in which "balance" is "10"
    And the key "session" is "open" under a lease of 1 seconds
    Then the key "session" goes missing by itself

  Scenario: A watch replays from a revision and tells of compaction
    Given a stand-in of the store in which "balance" is "10"
    And another writer sets the key "balance" to "7"
    When a watch on "balance" starts at its first revision
    Then the watch reports "10, 7"
    When another writer sets the key "balance" to "5"
    Then the watch reports "5"
    When the store is compacted at its last revision
    And a watch on "balance" starts at its first revision
    Then the watch is cancelled with that compaction

  Scenario: The engine gives the same answer, whole and in pieces
    Given a stand-in of the engine
    When it is asked "what dampens low notes answer_tokens=5" whole and in pieces
    Then both answers are the 5 words that follow from the prompt
    And both usages are 5 prompt and 5 answer tokens
    And its run log shows two finished runs of 5 tokens

  Scenario: The service counts a run whose answer was broken off
    Given a stand-in of the service that breaks off its next answer
    When the same call is sent twice
    Then the first call has no answer
    And the service counts two runs of the call

  Scenario: A relay silences old connections while new ones work
    Given a stand-in of the engine
    And an answer of 400 tokens that streams through a relay
    When the relay silences the connections of now
    Then the stream brings nothing more
    And a new connection through the relay brings a whole answer

  Scenario: A start is given the time in which it waited for a processor
    Given a program that is ready later than a start may take
    When it is started on a machine that keeps it from a processor
    Then the start succeeds

  Scenario: A start that takes too long in its own time fails
    Given a program that is ready later than a start may take
    When it is started on a machine with processors to spare
    Then the start fails and its program has ended

  Scenario: A program that was paused ends when told to
    Given a stand-in of the engine
    And an answer of 400 tokens that streams through a relay
    When the engine is paused and then stopped
    Then it has ended with code 0

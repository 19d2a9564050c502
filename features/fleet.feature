Feature: What a router believes, and how it reaches the store

  Scenario: A target that is removed while the history is lost is gone at once
    Given a router's list with a target
    When the target is removed while the store drops its history
    Then the target gets nothing more within 0.1 seconds of the listing

  Scenario: An entry that lapsed in an outage is kept for a moment
    Given a router's list with a target
    When the store is down for 4 seconds and the entry is gone after it
    Then the target still serves 1.5 seconds after the store's return
    And the target gets nothing more 3 seconds after it

  Scenario: The end of doubt doesn't move with each doubtful entry
    Given a router's list with a target
    When the store is down for 4 seconds and the target leaves 2 s later
    Then the target gets nothing more 3 seconds after it

  Scenario: A target that drains never takes work again
    Given a router's list with a target
    When the target drains and its entry says ready again
    Then the target gets nothing more

  Scenario: The catalogue never goes back
    Given a router's view of the catalogue at version 7
    When version 5 is read from a stale page
    Then the view stays at version 7

  Scenario: A router on a slow link catches up with a catalogue that changed often
    Given a router that follows a catalogue of 60000 bytes over 1000000 bytes a second
    When the router is cut off while the catalogue changes 30 times
    Then it has the newest catalogue 2 seconds after the cut

  Scenario: Second sends stay within the fleet's budget after a restart
    Given 5 routers that were all restarted, with a slack of 56
    When each takes as many second sends as it can within the first window
    Then the fleet has made no more than a fifth of its requests
    And after a window it may use its slack

  Scenario: A call takes a relay when the straight way is silent
    Given a store whose straight way is silent, and a relay
    When a call is made twice
    Then both calls are answered within 0.5 virtual seconds
    And the second call goes over the relay at once

  Scenario: A conditional write that was done twice is taken for one
    Given 5 routers that have spent a third of a budget
    When answers are lost for 5 seconds and a second way brings the conflict
    Then the budget holds and most requests are served

  Scenario: No plan of a share exceeds what the budget has left
    When 300 generated accounts are planned for
    Then no cap leaves less than nothing of the budget

  Scenario: The log never waits for its reader, and says what it left out
    Given a log whose reader has stopped reading
    When 20000 events are written
    Then none of the writes waits
    And the reader later finds how many lines were left out

  Scenario: Whatever bytes come, the platform's headers are read or refused
    When 300 generated heads of requests and answers are read
    Then each is read or refused with a status

  Scenario: A budget page survives its way through the store
    When 100 generated pages are written and read
    Then each is the same as before

  Scenario: A target that falls silent gets nothing more while it owes answers
    Given two engines of which one has fallen silent with a request on its way
    When an engine is chosen 0.5 and 1 seconds later
    Then the silent one is its prompt's home at first, and left alone then

  Scenario: What changes while a watch's answer is on its way comes with the next one
    Given a store with a watch that is about to answer
    When a second key changes while the answer is on its way
    Then the next watch from the answer's revision brings it

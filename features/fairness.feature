Feature: The queue of a target is fair and bounded and loses no ticket

  Scenario: Any history respects the number of slots and loses no ticket
    When any history of arrivals, departures, withdrawals and resizes is played
    Then each start found a free slot and each ticket ended exactly once

  Scenario: Every waiting thread ends with a slot, a refusal or a withdrawal
    Given a fair queue of 3 slots
    When 60 threads wait for it, some withdrawn, some cancelled, some timed out
    Then no more than 3 ran at once and every thread ended
    And every other request ran
    And every refusal states that the request did not run
    And a request that is cancelled while it holds a slot frees it

  Scenario: Workspaces that always wait are served by their weights
    When any workspaces with any weights and costs wait all the time
    Then their tokens over weight differ by no more than one request of each

  Scenario: A full queue refuses the large workspace, not the small one
    Given a fair queue of 1 slots that is full of one workspace's requests
    When a request of another workspace comes
    Then it is queued, and the last of the large workspace is refused with a time to retry
    And the next of the large workspace is refused at once

  Scenario: A request whose deadline cannot be met is refused at once
    Given a fair queue of 1 slots whose requests take 2 seconds, with 5 waiting
    When a request comes with a deadline in 4 seconds
    Then it is refused as overloaded and not run, with a time to retry
    And a request with a deadline in 60 seconds is queued

  Scenario: Small workspaces stay fast beside one that sends a hundred times its share
    Given small workspaces that use 0.45 of the capacity
    When a large workspace sends 100 times its share in virtual time
    Then the small ones' p95 first token is within 1.25 times its value without the large one
    And with a first-come, first-served queue it is not

  Scenario: A load of twice the capacity yields as many tokens in time as one at capacity
    When ten workspaces send one and two times the capacity in virtual time
    Then the tokens in time differ by no more than a tenth

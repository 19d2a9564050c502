Feature: Membership, links and the catalogue
  Routers and agents come, die and go silent; the catalogue is in force
  everywhere within seconds and never reverts.

  Scenario: A catalogue change reaches a router that is cut off from the store
    Given a site with a router cut off from the store
    When the operators change the limits of a workspace
    Then within 3 seconds both routers refuse by the new limit
    And the first router knows the store's newest revision

  Scenario: A router started while the store is down serves once it is back
    Given a running site
    And the store is down
    When a fresh router is started
    Then the fresh router refuses with a time to come back, and says it did not run
    And it serves within 5 seconds after the store is back

  Scenario: The connections to an agent go silent and answers arrive whole
    Given a site whose first agent is reached through a relay
    When its connections go silent for good while 6 answers are on their way
    Then all answers arrive whole within 15 seconds
    And each of them ran once

  Scenario: An agent dies under load and idempotent whole answers are still served
    Given a running site
    When an engine's agent is killed while 6 whole answers are on their way
    Then all answers arrive whole within 15 seconds

  Scenario: All routers die at once and their successors have the whole budget again
    Given a running site
    When every router is killed while 6 streams are open
    And as many fresh routers are started
    Then within 20 seconds no session of a dead router is left
    And the account has paid what the engines finished and holds nothing else

  Scenario: An agent that moves to another address stays in use
    Given a running site
    When every agent is reached at another address
    Then each router links to all agents there, and its former links end
    And for 3 seconds no agent is unlisted while a link to it stands
    And every agent can get paid work

  Scenario: An agent's former link ends while its next one opens
    Given a router's keeper that lists an agent
    When the agent has greeted on its next link, and its former one ends
    And the keeper looks at its record
    Then the agent may get paid work

  Scenario: An agent's next link opens while the keeper looks at its record
    Given a router's keeper that lists an agent
    When the agent's former link has ended
    And its next one opens while the keeper looks at its record
    Then the agent may get paid work

  Scenario: An agent that was replaced leaves the record
    Given a router's keeper that lists an agent
    When another incarnation of the agent has greeted
    And the keeper looks at its record
    Then only the other incarnation may get paid work

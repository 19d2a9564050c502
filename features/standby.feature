Feature: Routers that can't serve leave the rotation while others can

  Scenario Outline: A standby begins only if most of enough requests were refused
    Given a standby policy
    When <requests> requests arrive within <seconds> s and <refused> are refused for lack of contact
    Then the policy has its router <state>

    Examples:
      | requests | seconds | refused | state       |
      | 12       | 1.0     | 7       | on standby  |
      | 12       | 1.0     | 6       | in rotation |
      | 11       | 1.0     | 11      | in rotation |
      | 200      | 1.0     | 101     | on standby  |
      | 20       | 6.0     | 20      | in rotation |

  Scenario: An answer between refusals shows that the cause is gone
    Given a standby policy
    When each sixth of 60 refused requests is followed by an answer of a lender
    Then no standby begins

  Scenario Outline: An answer that comes late is no contact
    When a lender answers <seconds> s after it was asked
    Then contact since the question is <contact>

    Examples:
      | seconds | contact |
      | 0.05    | there   |
      | 0.25    | there   |
      | 0.5     | lost    |
      | 3.0     | lost    |

  Scenario: A router without contact returns on trial, later after each standby
    Given a standby policy
    When all of 50 requests a second are refused for 60 s
    Then its standbys take 3, 6, 12 and 12 s
    And a standby 10 s after the last one takes 3 s again

  Scenario: A router in contact is never out of rotation for an eighth of its time
    Given a standby policy
    When its contact comes and goes in 100 generated ways and at 150 regular rates
    Then it was out of rotation while in contact for less than an eighth of the time

  Scenario Outline: A refusal that other routers would repeat causes no standby
    When a router refuses a request with <refusal>
    Then the local cause is <cause>

    Examples:
      | refusal                               | cause        |
      | 503 budget without contact            | no_contact   |
      | 503 no_catalogue                      | no_catalogue |
      | 402 budget                            | none         |
      | 503 budget by a lender                | none         |
      | 503 full                              | none         |
      | 502 broken                            | none         |
      | 503 leaving                           | none         |

  Scenario: A router that is cut off leaves the rotation and returns
    Given 4 routers behind a balancer, with the standby feature
    When one router is cut off from the other routers and the store for 4 s
    Then it isn't ready at most 3 s later
    And its refusals close connections only while it is on standby
    And from 3 s after that no caller is refused
    And it is ready again within 0.5 s of regained contact
    And fewer callers are refused than without the standby feature

  Scenario Outline: Contact is noticed soon whenever it returns
    Given 4 routers behind a balancer, with the standby feature
    When one router is cut off from the other routers and the store for <seconds> s
    Then it is ready again within 0.5 s of regained contact

    Examples:
      | seconds |
      | 3.0     |
      | 3.1     |
      | 3.21    |
      | 3.33    |

  Scenario: A router whose messages get no answers is on standby
    Given 4 routers behind a balancer, with the standby feature
    When one router's messages to the other routers and the store are lost for 4 s
    Then it isn't ready at most 3 s later
    And it is ready again within 0.5 s of regained contact

  Scenario: All routers of a domain that are cut off go on being used
    Given 4 routers behind a balancer, with the standby feature
    When both routers of a domain are cut off from the others and the store for 4 s
    Then they answer every request of their callers
    And they are ready again within 0.5 s of regained contact

  Scenario Outline: Routers that have contact stay in rotation
    Given 4 routers behind a balancer, with the standby feature
    When for <seconds> s <fault>
    Then every router was ready all the time
    And callers got the statuses <statuses>

    Examples:
      | fault                                        | seconds | statuses |
      | one router is cut off from the store         | 8       | 200      |
      | one router is cut off from the other routers | 8       | 200      |
      | the store is down                            | 20      | 200, 503 |
      | all targets reject all requests              | 4       | 200, 503 |
      | all targets fail all requests                | 4       | 200, 500 |
      | the budget is spent                          | 4       | 402      |

  Scenario: Without the standby feature a router that is cut off stays ready
    Given 4 routers behind a balancer, without the standby feature
    When one router is cut off from the other routers and the store for 4 s
    Then every router was ready all the time
    And no refusal closes a connection

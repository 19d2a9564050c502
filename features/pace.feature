Feature: Pace of model engines

  Scenario: Engines are told apart by their pace while they read other prompts
    Given 9 engines, of which every third takes 2.4 times as long
    When each sends 6 streams whose events are late by reading and by the router
    Then each known pace is within 0.2 of the true one
    And the usual gap of each engine is within a fifth of the true one

  Scenario: Engines of equal pace stay equal in spite of noise
    Given 9 engines, of which every third takes 1.0 times as long
    When each sends 6 streams whose events are late by reading and by the router
    Then each known pace is within 0.1 of the true one

  Scenario: An engine that becomes slow is noticed within two streams
    Given 9 engines, of which every third takes 1.0 times as long
    When each sends 6 streams whose events are late by reading and by the router
    And engine 1 takes 4 times as long for 2 streams
    Then its pace is at least 3

  Scenario: An engine that restarts begins anew
    Given 9 engines, of which every third takes 2.4 times as long
    When each sends 6 streams whose events are late by reading and by the router
    Then another start of engine 0 has the pace 1 and no usual gap

  Scenario: An engine that was avoided for its pace is tried again
    Given 9 engines, of which every third takes 2.4 times as long
    When each sends 6 streams whose events are late by reading and by the router
    And only the others send streams for 61 seconds
    Then engine 0 has the pace 1 again

  Scenario: Start cost and reading rate are learned from requests that partly waited
    Given 9 engines, of which every third takes 2.4 times as long
    When each sends 6 streams whose events are late by reading and by the router
    And 200 prompts start after 0.1 s and 14 microseconds a token, and half of them wait
    Then the start of a prompt of 3000 tokens is estimated within a fifth on each engine

  Scenario: Too few requests give no estimate
    Given 9 engines, of which every third takes 1.0 times as long
    When 23 prompts start after 0.1 s and 14 microseconds a token, and half of them wait
    Then no start is estimated

  Scenario: Prompts of one size don't tell the reading rate from the start cost
    Given 9 engines, of which every third takes 1.0 times as long
    When 200 prompts of 600 tokens start after 0.1 s
    Then no start is estimated

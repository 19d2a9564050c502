Feature: Relays code long answers for routers that decode them
  A large catalogue takes a fifth of its bytes on a narrow link.

  Scenario Outline: A router of an older release gets plain answers beside a newer one
    Given a relay in front of a catalogue of 1000 routes
    When a router that accepts <accepted> sends a <call> call
    Then the body as sent has <size>
    And it reads the whole catalogue from it

    Examples:
      | accepted  | call  | size                          |
      | no coding | watch | its whole length              |
      | no coding | list  | its whole length              |
      | deflate   | watch | at most a third of its length |
      | deflate   | list  | at most a third of its length |

  Scenario Outline: A coded body that can't be decoded is no answer
    When a coded body of 1000000 bytes <arrives>
    Then decoding it fails

    Examples:
      | arrives                        |
      | ends early                     |
      | has other bytes within         |
      | is longer than a body may be   |

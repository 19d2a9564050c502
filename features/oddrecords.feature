Feature: A record with an odd value affects no other record

  Scenario Outline: Requests are served beside an entry with <odd>
    When an entry with <odd> is listed, written later, and replaces an entry
    Then each request is served by a target with a valid entry
    And each refusal of the entry is logged, and no task has failed

    Examples:
      | odd                           |
      | slots of 10^18                |
      | slots of 10^30                |
      | slots of 10^400               |
      | coldLeftMs of 1e308           |
      | born of 10^18                 |
      | born of 10^400                |
      | address of 0.0.0.0            |
      | address of 224.0.0.1          |
      | address of 255.255.255.255    |
      | address of a signed port      |
      | address of port 65536         |
      | a zone of 70000 characters    |
      | a version of 70000 characters |
      | a zone with a line end        |
      | a field nested 200000 deep    |

  Scenario Outline: Requests are served beside an entry under <odd>
    When a valid entry under <odd> is listed, and written later
    Then each request is served by a target with a valid entry
    And each refusal of the entry is logged, and no task has failed

    Examples:
      | odd                          |
      | an id with a line end        |
      | an id with a zero byte       |
      | an id that ends with a space |
      | an id that was no text       |

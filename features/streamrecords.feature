Feature: What routers remember of the streams that began

  # Streams without an end would fill the memory of a router.
  Scenario: The number of records is limited, and the oldest go first
    When 40,000 streams begin within their lifetime
    Then 32,768 records are kept, without the first and with the last

  # A record of an ended stream would be found for another one.
  Scenario: A record ends with its lifetime
    When a stream begins whose caller may come back for 30 s
    Then its record is found after 29 s and not after 31 s

  # One of two streams with the same id would go on at the version of the other.
  Scenario: An id that began streams of two versions is known for none
    When a stream of v1 and a stream of v2 begin with the same id
    Then no version is found for the id

  # A caller could read or spoil what is known of another workspace's streams.
  Scenario: The same id of two workspaces stands for two streams
    When requests of two workspaces have the same id
    Then their keys differ

  # Anyone can send a datagram to the port.
  Scenario: Any datagram is decoded or ignored
    When 300 generated datagrams and the records of 100 generated streams arrive
    Then each record is decoded as it was, and no datagram is an error

  # A page that another release or an operator wrote would end the router's task.
  Scenario: Any page in the store is decoded or refused
    When 200 generated contents are decoded as pages of builds and of records
    Then each is decoded or refused as invalid, and own pages are decoded as they were

  # Records were looked for at other routers than those that have them.
  Scenario: Routers whose lists differ by one find the same routers for a stream
    Given the lists of two routers, of which one lacks one router of 30
    Then for 500 streams the routers with the records are among those that are asked

  # A version that came and went while the list wasn't read would be overlooked.
  Scenario Outline: Which versions were listed is known only without a gap
    Given a list known since 0 s, with <history>
    Then at 40 s the versions since 10 s are: <versions>

    Examples:
      | history                                        | versions  |
      | v1                                             | v1        |
      | v1 and v2                                      | v1 v2     |
      | v1, and v2 until 5 s                           | v1        |
      | v1, and v2 until 15 s                          | v1 v2     |
      | v1, and another service's v2                   | v1        |
      | v1, listed anew at 20 s                        | not known |

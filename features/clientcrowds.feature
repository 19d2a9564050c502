@alone
Feature: Crowds of clients that finish nothing

  Guards against a crowd of clients that ends a process, or keeps it from its ordinary
  callers. The processes are real, with a third of the memory of a router's machine and
  an eighth of its descriptors; each must stay within them.

  Scenario: A crowd sends whole bodies short of their end
    When a crowd sends whole bodies short of their end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: Hundreds of clients send whole bodies short of their end
    When a crowd sends whole bodies of 600 clients short of their end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends bodies in pieces, short of their end
    When a crowd sends pieces of bodies short of their end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends one large chunk short of its end
    When a crowd sends one chunk short of its end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends large chunks without the last one
    When a crowd sends large chunks without the last
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends chunks of one byte without the last one
    When a crowd sends chunks of one byte without the last
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends chunks without end
    When a crowd sends large chunks without end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd announces bodies far over the limit and sends them
    When a crowd sends bodies announced far over the limit
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends whole bodies to slow streams
    When a crowd sends whole bodies to slow streams
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends many requests and reads no answer
    When a crowd sends many requests without reading
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd doesn't read large answers
    When a crowd sends requests for large answers without reading
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd doesn't read large streams
    When a crowd sends requests for large streams without reading
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends heads of many small headers
    When a crowd sends heads of many small headers
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd opens more connections than the process has descriptors
    When a crowd sends half of a head
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends large calls to a relay, short of their end
    When a crowd sends calls short of their end to a relay
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd opens more connections to a relay than it has descriptors
    When a crowd sends half of a call to a relay
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd sends large bodies to the readiness check
    When a crowd sends bodies short of their end to the readiness check
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd opens more connections for readiness checks than there are descriptors
    When a crowd sends half of a head to the readiness check
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd opens more connections for other routers than there are descriptors
    When a crowd sends half of a head to the port for other routers
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd doesn't read metrics
    When a crowd sends requests for metrics without reading
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A crowd doesn't read what a relay brings from the store
    When a crowd sends calls for large values to a relay without reading
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: Ordinary long bodies are served beside a crowd of unfinished ones
    When beside ordinary bodies of 256 KiB a crowd sends whole bodies short of their end
    Then the process lives and stays within its memory and descriptors
    And an ordinary request is answered beside the crowd and after it

  Scenario: A router stops beside a crowd
    When a crowd stays with whole bodies short of their end and the router is told to stop
    Then the router ends by itself

  # The connection was reset under the client that was still sending.
  Scenario: A client that sends too much gets its refusal
    When one client sends a body of half again the limit before it reads
    Then it gets 413

  Scenario: A single body of legal size is served, however it is sent
    When one client sends a body of legal size in pieces
    Then it is served
    When one client sends a body in chunks of one byte
    Then it is served

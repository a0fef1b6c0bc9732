Feature: Each request is billed exactly once

  Scenario: Table responses are lost after the write took effect
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 200 model calls on "main" within 60 s
    When 40 in 100 responses of the table are lost at 5 s for 60 s
    Then every promise holds
    And no request stays unserved

  Scenario: Writes take effect after the daemon's timeout
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 200 model calls on "main" within 60 s
    When 30 in 100 writes take effect late at 5 s for 60 s
    Then every promise holds
    And at least 150 requests are served

  Scenario: A daemon is killed with open streams and unflushed bills, and its callers retry at other daemons
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 300 model calls on "main" within 60 s
    When host "a-host-1" is killed at 20 s and is back after 10 s
    And host "b-host-2" is killed at 30 s and is back after 10 s
    Then every promise holds
    And no request stays unserved

  Scenario: The platform is down for longer than any flush of the bills can take
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans open
    And 200 model calls on "main" within 100 s
    When the platform is down at 30 s for 60 s
    Then every promise holds
    And at least 150 requests are served

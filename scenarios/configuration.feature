Feature: A published configuration is active at every daemon within seconds and never reverts

  Scenario: A version is published while a failure domain can't reach the platform
    Given failure domains "a, b, c" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 100 model calls on "main" within 60 s
    When "a" is cut off from the platform at 10 s for 40 s
    And the configuration is published again at 20 s
    Then version 2 is in force at every running daemon at 28 s
    And every promise holds

  Scenario: A daemon that starts while the platform is down gets the newest version from its peers
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 100 model calls on "main" within 60 s
    When the configuration is published again at 5 s
    And the platform is down at 20 s for 40 s
    And host "a-host-1" is killed at 22 s and is back after 3 s
    Then version 2 is in force at every running daemon at 33 s
    And every promise holds

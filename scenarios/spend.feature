Feature: The spend on a budget never exceeds the budget

  Scenario: A failure domain can't reach the platform while all domains draw on the budget
    Given failure domains "a, b, c" with 2 hosts and 2 engines each
    And a budget "main" of 20000 tokens that leans balanced
    And 300 model calls on "main" within 100 s
    When "a" is cut off from the platform at 20 s for 60 s
    Then every promise holds
    And at least 200 requests are served

  Scenario: A small budget is topped up while two failure domains can't reach each other
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 3000 tokens that leans strict
    And 300 model calls on "main" within 100 s
    When "a" and "b" are cut off from each other at 10 s for 60 s
    And budget "main" is topped up by 2000 tokens at 40 s
    Then every promise holds
    And at least 50 requests are served
    And at least 1 attempts are refused with "budget_exhausted"

  Scenario: A paused holder resumes after other daemons took over its requests
    Given failure domains "a, b" with 3 hosts and 2 engines each
    And a budget "main" of 6000 tokens that leans open
    And 300 model calls on "main" within 100 s
    When host "a-host-1" is paused at 10 s for 50 s
    And host "a-host-2" is paused at 20 s for 30 s
    Then every promise holds
    And at least 50 requests are served

  Scenario: A holder is killed, its successor on the host proves its death and reclaims the unspent tokens
    Given failure domains "a" with 2 hosts and 2 engines each
    And a budget "main" of 50000 tokens that leans open
    And 100 model calls on "main" within 60 s
    When host "a-host-1" is killed at 20 s and is back after 10 s
    And host "a-host-2" is killed at 40 s and is back after 10 s
    Then every promise holds
    And at most 0 tokens stay stranded

  Scenario: All hosts of a failure domain are lost while the platform is down
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 50000 tokens that leans balanced
    And 200 model calls on "main" within 100 s
    When the platform is down at 20 s for 40 s
    And all hosts of "a" are killed at 30 s and are back after 20 s
    Then every promise holds
    And at least 100 requests are served

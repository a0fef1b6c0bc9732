Feature: Requests refused as not executed were not executed, and non-repeatable requests execute once

  Scenario: Responses to signature calls are lost
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 100 signatures on "main" within 60 s
    When 30 in 100 receipts are lost at 5 s for 60 s
    Then every promise holds
    And at least 60 requests are served
    And at least 1 attempts are refused with "outcome_unknown"

  Scenario: Table responses are lost and table writes take effect late while claims are written
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 100 signatures on "main" within 60 s
    When 30 in 100 responses of the table are lost at 5 s for 30 s
    And 20 in 100 writes take effect late at 30 s for 40 s
    Then every promise holds
    And at least 60 requests are served

  Scenario: A daemon is paused while it holds claims, and its callers retry at other daemons
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 200 signatures on "main" within 60 s
    When host "a-host-1" is paused at 10 s for 45 s
    And host "b-host-1" is killed at 30 s and is back after 10 s
    Then every promise holds
    And at least 150 requests are served

  Scenario: Non-repeatable calls are refused with the correct reason while the platform is down
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 60 signatures on "main" within 60 s
    And 60 look-ups on "main" within 60 s
    When the platform is down at 10 s for 50 s
    Then every promise holds
    And at least 1 attempts are refused with "claim_unavailable"

  Scenario: All daemons recognize a request that crashes its engine
    Given failure domains "a" with 3 hosts and 4 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And a model call on "main" in "a" at 10 s that crashes its engine
    And a model call on "main" in "a" at 20 s that crashes its engine
    And a model call on "main" in "a" at 30 s that crashes its engine
    And 100 model calls on "main" within 60 s
    Then every promise holds
    And engines crash at most 2 times
    And at least 95 requests are served

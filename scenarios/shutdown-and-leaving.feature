Feature: Graceful stops of daemons and leaving upstreams

  Scenario: A graceful stop completes all requests in progress
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 300 model calls on "main" within 60 s
    When host "a-host-1" is stopped gracefully at 20 s and is back after 5 s
    And host "b-host-1" is stopped gracefully at 30 s and is back after 5 s
    Then every promise holds
    And no attempt breaks off
    And no request stays unserved
    And at most 0 tokens stay stranded

  Scenario: A graceful stop while the platform is down
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans open
    And 300 model calls on "main" within 60 s
    When the platform is down at 15 s for 50 s
    And host "a-host-1" is stopped gracefully at 20 s and is back after 10 s
    Then every promise holds
    And no attempt breaks off

  Scenario: A leaving engine gets no new requests after three seconds
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 300 model calls on "main" within 60 s
    When engine "a-engine-1" announces at 20 s that it is leaving
    Then every promise holds
    And engine "a-engine-1" got work before 20 s
    And engine "a-engine-1" gets no new work from 23 s on
    And no request stays unserved

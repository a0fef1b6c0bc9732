Feature: A caller receives the complete response to its own request

  Scenario: Broken streams are resumed at the engine
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 200 model calls on "main" within 60 s
    When 10 in 1000 pieces break their stream at 0 s for 70 s
    Then every promise holds
    And no request stays unserved

  Scenario: Chunks are delivered repeatedly and out of order
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 200 model calls on "main" within 60 s
    When 30 in 100 pieces arrive again late at 0 s for 70 s
    And 5 in 1000 pieces break their stream at 0 s for 70 s
    Then every promise holds
    And no request stays unserved

  Scenario: Engines crash during responses
    Given failure domains "a, b" with 2 hosts and 2 engines each
    And a budget "main" of 100000 tokens that leans balanced
    And 200 model calls on "main" within 60 s
    When engine "a-engine-1" crashes at 20 s
    And engine "b-engine-1" crashes at 21 s
    Then every promise holds
    And at least 190 requests are served

# Refusing whoever comes next keeps ordinary callers out for as long as a crowd
# of misbehaving ones stays.
Feature: Which connections of callers are dropped

  Scenario: The largest and oldest incomplete request is dropped first
    Given a budget of 1000 bytes
    And a connection "whole" that has held 600 bytes since 90 s and is served
    And a connection "old" that has held 200 bytes since 20 s and is read
    And a connection "young" that has held 150 bytes since 1 s and is read
    When a connection "new" sends 100 bytes
    Then the connections "old" were dropped

  Scenario: Requests that are served are dropped after all incomplete ones
    Given a budget of 1000 bytes
    And a connection "whole" that has held 900 bytes since 1 s and is served
    And a connection "young" that has held 50 bytes since 1 s and is read
    When a connection "new" sends 800 bytes
    Then the connections "young,new" were dropped

  Scenario: A request that cannot be dropped is left alone
    Given a budget of 1000 bytes
    And a connection "whole" that has held 900 bytes since 1 s and is served
    And connection "whole" cannot be dropped
    And a connection "young" that has held 50 bytes since 1 s and is read
    When a connection "new" sends 60 bytes
    Then the connections "young" were dropped

  Scenario: A connection without a whole request makes room for a new one
    Given an address for 8 connections, 4 served, 3 idle after a request
    And the oldest of them has sent half a head
    When a connection arrives
    Then only the one with half a head was closed

  Scenario: A new connection is refused if all others are being served
    Given an address for 8 connections, 8 served, 0 idle after a request
    When a connection arrives
    Then it has no room

  Scenario: Pressure begins with one log line
    Given a budget of 1000 bytes
    When 30 connections send 200 bytes each
    Then 25 connections were dropped and one line tells that pressure began

Feature: Targets that answer before they have read the whole request

  Scenario: A connection that the kernel has given up is not merely silent
    # Reading on would return the end of the connection.
    Given a connection of a gateway whose target takes no byte of the request
    When the gateway reads on until the answer ends
    Then the rest of the answer is read as a broken reply

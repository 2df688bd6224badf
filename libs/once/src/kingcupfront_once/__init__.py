"""At-most-once execution of actions."""

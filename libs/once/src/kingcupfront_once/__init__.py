"""At-most-once execution of calls to plain services."""

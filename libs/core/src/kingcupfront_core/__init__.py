"""Errors, outcomes, clocks, logs, metrics and signing."""

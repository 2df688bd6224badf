"""Errors, outcomes, clocks, logs, metrics and signing for all packages."""

"""Experiments and measurements."""

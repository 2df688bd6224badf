"""Helpers that start processes for the features."""

"""Randomized runs of real gateway processes, with faults from outside."""

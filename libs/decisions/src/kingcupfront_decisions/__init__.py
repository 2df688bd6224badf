"""Decisions under load: pure objects without input or output."""

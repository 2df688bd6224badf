"""Routing, admission, limits and retries."""

"""Membership and messages between entry processes."""

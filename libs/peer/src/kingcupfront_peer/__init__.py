"""Membership of entry processes and messages between them."""

"""API keys of teams and the hashes by which they are known."""

import hashlib
import secrets

PREFIX = 'kcf_'
KEY_BYTES = 32


def generate() -> str:
    """Return a fresh API key with 256 random bits."""
    return PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest(key: str) -> str:
    """Return the hash of a key, SHA-256 in hexadecimal.

    :param key: the API key.
    """
    return hashlib.sha256(key.encode()).hexdigest()

"""API keys of teams and the hashes that are stored in their place."""

import hashlib
import secrets

PREFIX = 'kcf_'
KEY_BYTES = 32


def generate() -> str:
    """Return a new API key with 256 random bits."""
    return PREFIX + secrets.token_urlsafe(KEY_BYTES)


def digest(key: str) -> str:
    """Return the SHA-256 hash of an API key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()

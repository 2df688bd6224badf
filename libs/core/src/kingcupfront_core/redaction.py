"""Redaction of secrets in logs and dumps."""

import re
import typing

REDACTED = '[redacted]'
SECRET_FIELDS = frozenset(
    {
        'authorization',
        'idempotency_key',
        'key',
        'key_hash',
        'key_hashes',
        'password',
        'permit',
        'secret',
        'secrets',
        'token',
    }
)
# API keys of teams, and credentials after the Bearer scheme.
_SECRET_PATTERN = re.compile(r'kcf_[\w-]{16,}|(?<=Bearer )[^\s"\']+')


def redact(value: typing.Any) -> typing.Any:
    """Return a copy with secrets replaced, by field name and by pattern.

    >>> redact({'team': 'north', 'secret': 'x', 'why': 'Bearer abc'})
    {'team': 'north', 'secret': '[redacted]', 'why': 'Bearer [redacted]'}

    :param value: a scalar, or nested dicts, lists and tuples; tuples are
        returned as lists.
    """
    if isinstance(value, dict):
        return {
            name: REDACTED if _is_secret_field(name) else redact(item)
            for name, item in value.items()
        }
    if isinstance(value, list | tuple):
        return [redact(item) for item in value]
    if isinstance(value, str):
        return _SECRET_PATTERN.sub(REDACTED, value)
    return value


def _is_secret_field(name: typing.Any) -> bool:
    return str(name).lower().replace('-', '_') in SECRET_FIELDS

"""Removes secrets from what is logged or shown."""

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
# Keys of teams and whatever follows the scheme of an authorization header.
_SECRET_TEXT = re.compile(r'kcf_[\w-]{16,}|(?<=Bearer )[^\s"\']+')


def redact(value: typing.Any) -> typing.Any:
    """Return a value without secrets, told by field name or by form.

    >>> redact({'team': 'north', 'secret': 'x', 'why': 'Bearer abc'})
    {'team': 'north', 'secret': '[redacted]', 'why': 'Bearer [redacted]'}

    :param value: dicts, lists and scalars.
    """
    if isinstance(value, dict):
        return {
            name: REDACTED if _is_secret(name) else redact(item)
            for name, item in value.items()
        }
    if isinstance(value, list | tuple):
        return [redact(item) for item in value]
    if isinstance(value, str):
        return _SECRET_TEXT.sub(REDACTED, value)
    return value


def _is_secret(name: typing.Any) -> bool:
    return str(name).lower().replace('-', '_') in SECRET_FIELDS

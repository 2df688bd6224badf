"""Signed values that callers carry and any entry can check."""

import typing

import itsdangerous

from kingcupfront_core import errors


class Signer:
    """Signs and checks small JSON values.

    Several secrets may be in force while keys are rotated: the last one
    signs, any of them checks.

    >>> signer = Signer(['secret'], purpose='resume')
    >>> signer.check(signer.sign({'n': 1}))
    {'n': 1}

    :param secrets: the shared secrets, oldest first.
    :param purpose: what the values are for; a value signed for another
        purpose is refused.
    """

    def __init__(self, secrets: list[str], purpose: str) -> None:
        self._serializer = itsdangerous.URLSafeSerializer(
            secrets, salt=f'kingcupfront.{purpose}'
        )

    def sign(self, value: typing.Any) -> str:
        """Return the value as signed text that is safe in a header."""
        return self._serializer.dumps(value)

    def check(self, text: str) -> typing.Any:
        """Return the value of signed text.

        :param text: what :meth:`sign` returned.
        :raises SignatureError: if it was forged or damaged.
        """
        try:
            return self._serializer.loads(text)
        except itsdangerous.BadData as error:
            raise errors.SignatureError('the signature is wrong') from error

"""Signed values that callers hold and any entry can verify."""

import typing

import itsdangerous

from kingcupfront_core import errors


class Signer:
    """Signs and verifies small JSON values.

    Several secrets may be valid during a key rotation: the last one signs,
    and a signature by any of them is accepted.

    >>> signer = Signer(['secret'], purpose='resume')
    >>> signer.check(signer.sign({'n': 1}))
    {'n': 1}

    :param secrets: the shared secrets, oldest first.
    :param purpose: the use of the values, part of the salt; a value signed
        for another purpose is refused.
    """

    def __init__(self, secrets: list[str], purpose: str) -> None:
        self._serializer = itsdangerous.URLSafeSerializer(
            secrets, salt=f'kingcupfront.{purpose}'
        )

    def sign(self, value: typing.Any) -> str:
        """Return the value as signed text that is safe in an HTTP header."""
        return self._serializer.dumps(value)

    def check(self, text: str) -> typing.Any:
        """Return the value of a signed text after verifying it.

        :param text: a text that :meth:`sign` returned.
        :raises SignatureError: if the text is forged or damaged.
        """
        try:
            return self._serializer.loads(text)
        except itsdangerous.BadData as error:
            raise errors.SignatureError(
                'the signed value is forged or damaged'
            ) from error

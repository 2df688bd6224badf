"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable
from collections.abc import Iterator
import typing

from kingcupfront_core import errors

T = typing.TypeVar('T')


class Registry(typing.Generic[T]):
    """Named implementations of one kind of behaviour.

    >>> greetings = Registry('greeting')
    >>> @greetings.register('plain')
    ... def plain() -> str:
    ...     return 'hello'
    >>> greetings.get('plain')()
    'hello'

    :param kind: what the registry holds, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers the decorated object.

        :param name: the name to register under.
        """

        def decorate(item: T) -> T:
            self._by_name[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Return the item that is registered under a name.

        :param name: the name to look up.
        :raises UnknownNameError: if the name is not registered.
        """
        if name not in self._by_name:
            known = ', '.join(sorted(self._by_name))
            raise errors.UnknownNameError(
                f'unknown {self.kind} {name!r}; known: {known}'
            )
        return self._by_name[name]

    def __iter__(self) -> Iterator[str]:
        return iter(sorted(self._by_name))

    def __contains__(self, name: object) -> bool:
        return name in self._by_name

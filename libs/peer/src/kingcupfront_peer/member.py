"""One entry process as others know it."""

import dataclasses
import enum
import typing

from kingcupfront_core import address as addresses


class State(enum.StrEnum):
    """What is believed of a member."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


SEVERITY_BY_STATE = {
    State.LIVE: 0,
    State.LEAVING: 0,
    State.SUSPECT: 1,
    State.DEAD: 2,
}


@dataclasses.dataclass(frozen=True)
class Member:
    """A statement about one member.

    :param instance: the instance's name in the list.
    :param address: where its peer listener is.
    :param place: the place where it runs.
    :param incarnation: its process number; 0 if only the list named it.
    :param state: what is believed of it.
    :param counter: raised by the member itself to refute a suspicion.
    """

    instance: str
    address: addresses.Address
    place: str
    incarnation: int = 0
    state: State = State.LIVE
    counter: int = 0

    @property
    def usable(self) -> bool:
        """Whether new work may be handed to it."""
        return self.state in (State.LIVE, State.SUSPECT)

    def supersedes(self, other: 'Member') -> bool:
        """Return whether this statement replaces another one.

        The order is that of SWIM: process number, then the member's own
        counter, then the worse state.
        """
        return self._precedence() > other._precedence()

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the statement for a state dump."""
        return dataclasses.asdict(self) | {
            'address': str(self.address),
            'state': str(self.state),
        }

    def _precedence(self) -> tuple[int, int, int]:
        return self.incarnation, self.counter, SEVERITY_BY_STATE[self.state]

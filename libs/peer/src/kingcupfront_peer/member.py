"""The record that entry processes keep and exchange about one member."""

import dataclasses
import enum
import typing

from kingcupfront_core import address as addresses


class State(enum.StrEnum):
    """The state in which a process holds a member."""

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
    """The record of one member.

    :param instance: the instance's name in the instance list.
    :param address: the address of its peer listener.
    :param place: the data centre where it runs.
    :param incarnation: its incarnation; 0 if known from the list only.
    :param state: the state that it is in.
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
        """Whether new work may be given to the member."""
        return self.state in (State.LIVE, State.SUSPECT)

    def supersedes(self, other: 'Member') -> bool:
        """Return whether this record replaces another one of the same member.

        As in SWIM, the higher incarnation wins, then the higher counter, then
        the more severe state.

        :param other: the record to compare with.
        """
        return self._precedence() > other._precedence()

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the record for a state dump."""
        return dataclasses.asdict(self) | {
            'address': str(self.address),
            'state': str(self.state),
        }

    def _precedence(self) -> tuple[int, int, int]:
        return self.incarnation, self.counter, SEVERITY_BY_STATE[self.state]

"""The keys that one process owns: issued, run and remembered here."""

import typing

from kingcupfront_core import outcomes
from kingcupfront_entry import execution
from kingcupfront_entry import members
from kingcupfront_entry import state
from kingcupfront_once import call
from kingcupfront_once import errors
from kingcupfront_once import permit
from kingcupfront_once import records

# How long after its expiry a permit is still known; within it the owner can
# tell a key that never ran from one that it has forgotten.
GRACE_SECONDS = 60.0


class KeyOwner:
    """Runs each key that this process owns once.

    :param process: the process.
    :param runner: runs calls on targets.
    :param known: the entries on the list.
    """

    def __init__(
        self,
        process: state.State,
        executor: execution.CallExecutor,
        known_members: members.Members,
    ) -> None:
        self._process = process
        self._members = known_members
        self._executor = executor
        self.records = records.Records(process.clock)

    def issue(
        self, team: str, service: str, lifetime_seconds: float
    ) -> permit.Permit:
        """Return a fresh permit.

        :param team: the team that may use it.
        :param service: the service that it is for; empty means any.
        :param lifetime_seconds: until when it may be run, in seconds.
        :raises TooManyKeysError: if no more keys can be held.
        """
        clock = self._process.clock
        wall = clock.wall()
        new_permit = permit.Permit(
            id=permit.new_id(),
            owner=self._process.settings.instance,
            incarnation=self._process.link.incarnation,
            peer=self._members.own_address,
            team=team,
            service=service,
            issued_at=wall,
            expires_at=wall + lifetime_seconds,
            expires_monotonic=clock.monotonic() + lifetime_seconds,
        )
        self.records.expect(new_permit.id, new_permit.expires_monotonic)
        return new_permit

    def owns(self, presented_permit: permit.Permit) -> bool:
        """Return whether this very process issued a permit."""
        return presented_permit.incarnation == self._process.link.incarnation

    def run(
        self, presented_permit: permit.Permit, request: call.Call
    ) -> call.Result:
        """Run a call under a permit, or return the result it had.

        :param item: the permit.
        :param work: the call.
        :raises OwnerGoneError: if another process issued the permit.
        :raises KeyReuseError: if the permit is for another call.
        :raises KeyExpiredError: if it expired so long ago that its result
            may be forgotten.
        """
        if not self.owns(presented_permit):
            raise errors.OwnerGoneError('the owner of the permit has ended')
        if presented_permit.service not in ('', request.service):
            raise errors.KeyReuseError('the permit is for another service')
        keep_until = presented_permit.expires_monotonic + GRACE_SECONDS
        if self._process.clock.monotonic() >= keep_until:
            raise errors.KeyExpiredError('the permit expired long ago')

        def check() -> None:
            self._check(presented_permit)

        return self.records.run(
            presented_permit.id,
            request,
            keep_until,
            lambda: self._run(request, check),
        )

    @property
    def pending(self) -> int:
        """Keys that a caller may still come for."""
        return self.records.pending

    def as_dict(self) -> dict[str, typing.Any]:
        """Return counts for a state dump."""
        return self.records.as_dict() | {
            'pending': self.pending,
            'address': str(self._members.own_address),
        }

    def _run(
        self, request: call.Call, check: typing.Callable[[], None]
    ) -> call.Result:
        try:
            check()
        except errors.KeyExpiredError as error:
            return call.Result(
                outcomes.Outcome.NOT_RUN, code=error.code, reason=str(error)
            )
        return self._executor.run(request, check)

    def _check(self, presented_permit: permit.Permit) -> None:
        # Two clocks: a suspended machine stops one, an operator moves the
        # other.
        clock = self._process.clock
        late = clock.monotonic() >= presented_permit.expires_monotonic
        if late or clock.wall() >= presented_permit.expires_at:
            raise errors.KeyExpiredError('the permit has expired')

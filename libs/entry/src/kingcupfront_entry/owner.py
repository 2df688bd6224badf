"""The idempotency keys that this process owns.

The owner of a permit is the process that issued it; it runs the call of the
permit once and remembers the result.
"""

import typing

from kingcupfront_core import outcomes
from kingcupfront_entry import execution
from kingcupfront_entry import known_entries
from kingcupfront_entry import state
from kingcupfront_once import call
from kingcupfront_once import errors
from kingcupfront_once import permit
from kingcupfront_once import records

# How long the record of a permit is kept after the permit has expired. While
# it is kept, the owner can tell a call that never ran from a call whose
# result it no longer has.
GRACE_SECONDS = 60.0


class KeyOwner:
    """Issues permits and runs the call of each permit at most once.

    :param process: the state of the process.
    :param executor: runs calls on targets.
    :param known_members: the entries that the instance list has named.
    """

    def __init__(
        self,
        process: state.State,
        executor: execution.CallExecutor,
        known_members: known_entries.KnownEntries,
    ) -> None:
        self._process = process
        self._members = known_members
        self._executor = executor
        self.records = records.Records(process.clock)

    def issue(
        self, team: str, service: str, lifetime_seconds: float
    ) -> permit.Permit:
        """Return a new permit.

        :param team: the name of the team that may use it.
        :param service: the name of the service that it is valid for; empty
            means any service.
        :param lifetime_seconds: how long it is valid, in seconds.
        :raises TooManyKeysError: if the table of keys is full.
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
        """Return whether this process issued a permit.

        A process that was restarted has another incarnation and does not own
        the permits that were issued before.
        """
        return presented_permit.incarnation == self._process.link.incarnation

    def run(
        self, presented_permit: permit.Permit, request: call.Call
    ) -> call.Result:
        """Run a call under a permit, or return its remembered result.

        :param presented_permit: the permit.
        :param request: the call.
        :raises OwnerGoneError: if another process issued the permit.
        :raises KeyReuseError: if the permit is valid for another call only.
        :raises KeyExpiredError: if it expired more than
            :data:`GRACE_SECONDS` ago, so that its result may be gone.
        """
        if not self.owns(presented_permit):
            raise errors.OwnerGoneError(
                'the process that issued the permit has ended'
            )
        if presented_permit.service not in ('', request.service):
            raise errors.KeyReuseError(
                f'the permit is for the service {presented_permit.service!r},'
                f' not {request.service!r}'
            )
        keep_until = presented_permit.expires_monotonic + GRACE_SECONDS
        if self._process.clock.monotonic() >= keep_until:
            raise errors.KeyExpiredError(
                f'the permit expired more than {GRACE_SECONDS:g} s ago'
            )

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
        """The number of keys whose callers may still ask for a result."""
        return self.records.pending

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the counts of keys for a state dump."""
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
        # Both clocks are compared: the monotonic clock stands still while the
        # machine is suspended, and an operator may set the wall clock.
        clock = self._process.clock
        late = clock.monotonic() >= presented_permit.expires_monotonic
        if late or clock.wall() >= presented_permit.expires_at:
            raise errors.KeyExpiredError('the permit has expired')

"""Runs requests under keys that callers made themselves."""

from collections.abc import Iterable
import dataclasses
import typing

import gevent

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_core import rendezvous
from kingcupfront_entry import execution
from kingcupfront_entry import members
from kingcupfront_entry import owner
from kingcupfront_entry import state
from kingcupfront_once import call
from kingcupfront_once import caller_key
from kingcupfront_once import claims
from kingcupfront_once import errors
from kingcupfront_peer import codec
from kingcupfront_peer import errors as peer_errors

KIND = 'claim'
MAX_MEMBERS = 32
ASK_TIMEOUT_SECONDS = 1.0
ASK_ATTEMPTS = 3
RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Answer:
    """What one entry says to a claim.

    :param holder: who holds the key: INSTANCE/INCARNATION@ADDRESS.
    :param started_at: wall second at which the entry started.
    :param members: the entries that it has seen listed since.
    """

    holder: str
    started_at: float
    members: tuple[str, ...]


class Claims:
    """Claims a key with every entry that might run it, then runs it.

    :param process: the process.
    :param runner: runs calls on targets.
    :param keys: where results are remembered.
    :param known: the entries on the list.
    """

    def __init__(
        self,
        process: state.State,
        runner: execution.Execution,
        keys: owner.Owner,
        known: members.Members,
    ) -> None:
        self._process = process
        self._runner = runner
        self._records = keys.records
        self._table = claims.Claims(process.clock)
        self._members = known
        self._started_at = process.clock.wall()
        process.link.handlers.register(KIND)(self._serve)

    def run(
        self, key: str, work: call.Call
    ) -> tuple[call.Result, address.Address | None]:
        """Run a call under a caller's key, or return the result it had.

        :param key: the caller's key.
        :param work: the call.
        :returns: the result, and the entry to ask instead if another one
            holds the key.
        :raises BadKeyError: if the key carries no time; nobody runs it.
        :raises KeyExpiredError: if the key is too old.
        :raises KeyReuseError: if the key is of another call.
        """
        wall = self._process.clock.wall
        not_before = caller_key.check_age(key, wall())
        digest = caller_key.digest(work.team, key)
        tried: list[str] = []

        def check() -> None:
            caller_key.check_age(key, wall())

        def action() -> call.Result:
            try:
                tried.append(self._acquire(digest, not_before))
            except core_errors.KingcupfrontError as error:
                tried.append('')
                return _not_claimed(str(error))
            if tried[0] != self._holder:
                return _not_claimed(f'{tried[0]} holds the key')
            return self._runner.run(work, check)

        end = self._process.clock.monotonic() + claims.KEEP_SECONDS
        try:
            result = self._records.run(digest, work, end, action)
        except errors.TooManyKeysError as error:
            return _not_claimed(str(error)), None
        if not tried or tried[0] == self._holder:
            return result, None
        self._records.forget(digest)
        other = tried[0].rpartition('@')[2]
        return result, address.Address.parse(other) if other else None

    def as_dict(self) -> dict[str, typing.Any]:
        """Return counts for a state dump."""
        known = self._members.since(self._started_at)
        return self._table.as_dict() | {'members': sorted(known)}

    @property
    def _holder(self) -> str:
        instance, _, where = self._members.own.rpartition('@')
        return f'{instance}/{self._process.link.incarnation}@{where}'

    def _acquire(self, digest: str, not_before: float) -> str:
        known_holder = self._table.holder_of(digest)
        if known_holder not in (None, self._holder):
            return known_holder
        known = self._members.since(not_before)
        if self._members.own not in known:
            raise errors.NotClaimedError('this entry is not on the list')
        # All claimants ask the same entry first, so that one of them wins
        # before the others have promises of their own.
        batch = rendezvous.rank(digest, known)[:1]
        asked: set[str] = set()
        while batch:
            asked |= set(batch)
            for answer in self._ask_all(batch, digest, not_before):
                if answer.holder != self._holder:
                    return answer.holder
                if answer.started_at > not_before:
                    raise errors.NotClaimedError('an entry is too young')
                known |= set(answer.members)
            if len(known) > MAX_MEMBERS:
                raise errors.NotClaimedError('too many entries to ask')
            batch = sorted(known - asked)
        return self._holder

    def _ask_all(
        self, batch: Iterable[str], digest: str, not_before: float
    ) -> list[Answer]:
        tasks = [
            gevent.spawn(self._try_to_ask, member, digest, not_before)
            for member in batch
        ]
        gevent.joinall(tasks)
        answers = []
        for task in tasks:
            if isinstance(task.value, core_errors.KingcupfrontError):
                raise task.value
            answers.append(task.value)
        return answers

    def _try_to_ask(
        self, member: str, digest: str, not_before: float
    ) -> Answer | core_errors.KingcupfrontError:
        # A task that ends by an exception would print its trace.
        try:
            return self._ask(member, digest, not_before)
        except core_errors.KingcupfrontError as error:
            return error

    def _ask(self, member: str, digest: str, not_before: float) -> Answer:
        if member == self._members.own:
            return self._answer(digest, self._holder, not_before)
        peer = address.Address.parse(member.rpartition('@')[2])
        body = codec.schema.Claim.new_message(
            key=digest, notBefore=not_before, holder=self._holder
        ).to_bytes()
        for attempt in range(ASK_ATTEMPTS):
            try:
                message = self._process.link.call(
                    peer, KIND, body, ASK_TIMEOUT_SECONDS
                )
                return _decode(message)
            except (peer_errors.PeerError, peer_errors.FrameError) as error:
                last = attempt == ASK_ATTEMPTS - 1
                if last or isinstance(error.__cause__, ConnectionRefusedError):
                    raise errors.NotClaimedError(str(error)) from error
            gevent.sleep(RETRY_SECONDS)
        raise errors.NotClaimedError(f'{member} was not asked')

    def _answer(self, digest: str, holder: str, not_before: float) -> Answer:
        known = self._members.since(not_before)
        return Answer(
            self._table.claim(digest, holder),
            self._started_at,
            tuple(sorted(known)),
        )

    def _serve(self, message: codec.Message) -> bytes:
        with codec.open_struct(codec.schema.Claim, message.body) as struct:
            digest, holder = struct.key, struct.holder
            not_before = struct.notBefore
        self._members.see(f'{message.sender}@{holder.rpartition("@")[2]}')
        answer = self._answer(digest, holder, not_before)
        return codec.schema.ClaimAnswer.new_message(
            granted=answer.holder == holder,
            startedAt=answer.started_at,
            holder=answer.holder,
            members=list(answer.members),
        ).to_bytes()


def _decode(message: codec.Message) -> Answer:
    with codec.open_struct(codec.schema.ClaimAnswer, message.body) as struct:
        return Answer(struct.holder, struct.startedAt, tuple(struct.members))


def _not_claimed(reason: str) -> call.Result:
    return call.Result(
        outcomes.Outcome.UNKNOWN, code='not_claimed', reason=reason
    )

"""Runs calls under idempotency keys that callers made themselves.

No entry issued such a key, so an entry first claims it with every entry that
might have run its call already or might run it now. It runs the call only if
all of them grant the claim.
"""

from collections.abc import Iterable
import dataclasses
import typing

import gevent

from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_core import outcomes
from kingcupfront_core import rendezvous
from kingcupfront_entry import execution
from kingcupfront_entry import known_entries
from kingcupfront_entry import owner
from kingcupfront_entry import state
from kingcupfront_once import call
from kingcupfront_once import caller_key
from kingcupfront_once import claims
from kingcupfront_once import errors
from kingcupfront_peer import codec
from kingcupfront_peer import errors as peer_errors

MESSAGE_KIND = 'claim'
MAX_MEMBERS = 32
CLAIM_TIMEOUT_SECONDS = 1.0
CLAIM_ATTEMPTS = 3
RETRY_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class ClaimAnswer:
    """An entry's answer to a claim.

    :param holder: the process that holds the claim, as
        INSTANCE/INCARNATION@ADDRESS.
    :param started_at: the wall second at which the answering entry started.
    :param members: the entries, as INSTANCE@ADDRESS, that it has seen since
        the time that the claim names.
    """

    holder: str
    started_at: float
    members: tuple[str, ...]


class ClaimCoordinator:
    """Claims a key with every entry that might run its call, then runs it.

    :param process: the state of the process.
    :param executor: runs calls on targets.
    :param key_owner: holds the records of results.
    :param known_members: the entries that the instance list has named.
    """

    def __init__(
        self,
        process: state.State,
        executor: execution.CallExecutor,
        key_owner: owner.KeyOwner,
        known_members: known_entries.KnownEntries,
    ) -> None:
        self._process = process
        self._executor = executor
        self._records = key_owner.records
        self._table = claims.Claims(process.clock)
        self._members = known_members
        self._started_at = process.clock.wall()
        process.link.handlers.register(MESSAGE_KIND)(self._on_claim_request)

    def run(
        self, key: str, request: call.Call
    ) -> tuple[call.Result, address.Address | None]:
        """Run a call under a caller's key, or return its remembered result.

        :param key: the caller's key.
        :param request: the call.
        :returns: the result, and the address of the entry to forward the call
            to if another entry holds the claim.
        :raises BadKeyError: if the key carries no time; no entry ever runs a
            call under such a key.
        :raises KeyExpiredError: if the key is past its lifetime.
        :raises KeyReuseError: if the key was used with another call.
        """
        wall = self._process.clock.wall
        not_before = caller_key.check_age(key, wall())
        key_digest = caller_key.digest(request.team, key)
        holders: list[str] = []

        def check_key_age() -> None:
            caller_key.check_age(key, wall())

        def claim_and_run() -> call.Result:
            try:
                holders.append(self._acquire_claim(key_digest, not_before))
            except core_errors.KingcupfrontError as error:
                holders.append('')
                return _not_claimed_result(str(error))
            if holders[0] != self._own_holder_id:
                return _not_claimed_result(
                    f'another entry holds the claim: {holders[0]}'
                )
            return self._executor.run(request, check_key_age)

        keep_until = self._process.clock.monotonic() + claims.KEEP_SECONDS
        try:
            result = self._records.run(
                key_digest, request, keep_until, claim_and_run
            )
        except errors.TooManyKeysError as error:
            return _not_claimed_result(str(error)), None
        if not holders or holders[0] == self._own_holder_id:
            return result, None
        self._records.forget(key_digest)
        host_port = holders[0].rpartition('@')[2]
        return result, address.Address.parse(host_port) if host_port else None

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the claim count and the known entries for a state dump."""
        member_ids = self._members.seen_since(self._started_at)
        return self._table.as_dict() | {'members': sorted(member_ids)}

    @property
    def _own_holder_id(self) -> str:
        instance, _, where = self._members.own_id.rpartition('@')
        return f'{instance}/{self._process.link.incarnation}@{where}'

    def _acquire_claim(self, key_digest: str, not_before: float) -> str:
        recorded_holder = self._table.holder_of(key_digest)
        if recorded_holder not in (None, self._own_holder_id):
            return recorded_holder
        member_ids = self._members.seen_since(not_before)
        if self._members.own_id not in member_ids:
            raise errors.NotClaimedError(
                'the instance list does not name this entry'
            )
        # All claimants of a key ask the same entry first, so that one of them
        # wins before the others have been granted claims elsewhere.
        batch = rendezvous.rank(key_digest, member_ids)[:1]
        asked: set[str] = set()
        while batch:
            asked |= set(batch)
            for answer in self._request_claims(batch, key_digest, not_before):
                if answer.holder != self._own_holder_id:
                    return answer.holder
                if answer.started_at > not_before:
                    raise errors.NotClaimedError(
                        'an entry that was asked started too late to know of'
                        ' all earlier uses of the key'
                    )
                member_ids |= set(answer.members)
            if len(member_ids) > MAX_MEMBERS:
                raise errors.NotClaimedError(
                    f'more than {MAX_MEMBERS} entries would have to grant the'
                    ' claim'
                )
            batch = sorted(member_ids - asked)
        return self._own_holder_id

    def _request_claims(
        self, batch: Iterable[str], key_digest: str, not_before: float
    ) -> list[ClaimAnswer]:
        tasks = [
            gevent.spawn(
                self._request_claim_or_error, member, key_digest, not_before
            )
            for member in batch
        ]
        gevent.joinall(tasks)
        answers = []
        for task in tasks:
            if isinstance(task.value, core_errors.KingcupfrontError):
                raise task.value
            answers.append(task.value)
        return answers

    def _request_claim_or_error(
        self, member: str, key_digest: str, not_before: float
    ) -> ClaimAnswer | core_errors.KingcupfrontError:
        # gevent prints the traceback of a task that ends with an exception.
        try:
            return self._request_claim(member, key_digest, not_before)
        except core_errors.KingcupfrontError as error:
            return error

    def _request_claim(
        self, member: str, key_digest: str, not_before: float
    ) -> ClaimAnswer:
        if member == self._members.own_id:
            return self._claim_locally(
                key_digest, self._own_holder_id, not_before
            )
        peer = address.Address.parse(member.rpartition('@')[2])
        body = codec.schema.Claim.new_message(
            key=key_digest, notBefore=not_before, holder=self._own_holder_id
        ).to_bytes()
        for attempt in range(CLAIM_ATTEMPTS):
            try:
                message = self._process.link.call(
                    peer, MESSAGE_KIND, body, CLAIM_TIMEOUT_SECONDS
                )
                return _decode(message)
            except (peer_errors.PeerError, peer_errors.FrameError) as error:
                last = attempt == CLAIM_ATTEMPTS - 1
                if last or isinstance(error.__cause__, ConnectionRefusedError):
                    raise errors.NotClaimedError(str(error)) from error
            gevent.sleep(RETRY_SECONDS)
        raise errors.NotClaimedError(
            f'{member} was not asked to grant the claim'
        )

    def _claim_locally(
        self, key_digest: str, holder: str, not_before: float
    ) -> ClaimAnswer:
        member_ids = self._members.seen_since(not_before)
        return ClaimAnswer(
            self._table.claim(key_digest, holder),
            self._started_at,
            tuple(sorted(member_ids)),
        )

    def _on_claim_request(self, message: codec.Message) -> bytes:
        with codec.open_struct(codec.schema.Claim, message.body) as struct:
            key_digest, holder = struct.key, struct.holder
            not_before = struct.notBefore
        self._members.record_seen(
            f'{message.sender}@{holder.rpartition("@")[2]}'
        )
        answer = self._claim_locally(key_digest, holder, not_before)
        return codec.schema.ClaimAnswer.new_message(
            granted=answer.holder == holder,
            startedAt=answer.started_at,
            holder=answer.holder,
            members=list(answer.members),
        ).to_bytes()


def _decode(message: codec.Message) -> ClaimAnswer:
    with codec.open_struct(codec.schema.ClaimAnswer, message.body) as struct:
        return ClaimAnswer(
            struct.holder, struct.startedAt, tuple(struct.members)
        )


def _not_claimed_result(reason: str) -> call.Result:
    return call.Result(
        outcomes.Outcome.UNKNOWN, code='not_claimed', reason=reason
    )

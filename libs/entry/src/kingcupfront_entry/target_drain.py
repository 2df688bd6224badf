"""Emptying one target before an order that would end its requests."""

import gevent
from gevent import pool

from kingcupfront_core import errors as core_errors
from kingcupfront_entry import leaving
from kingcupfront_entry import state
from kingcupfront_peer import codec
from kingcupfront_peer import member as members

HOLD_SECONDS = 30.0
ASK_TIMEOUT_SECONDS = 2.0
MAX_CALLS = 32


class TargetDrain:
    """Asks every entry to give a target no new work.

    :param process: the process.
    :param signs: where targets are held back.
    """

    def __init__(
        self, process: state.State, signs: leaving.LeavingTargets
    ) -> None:
        self._process = process
        self._signs = signs
        process.link.handlers.register('drain')(self._on_drain)

    def request_idle(self, target: str) -> bool:
        """Return whether no entry has requests in progress on a target.

        All entries that are listed or known to live must have promised to
        give it no new work for :data:`HOLD_SECONDS`; one that does not
        answer counts as busy.

        :param target: the target's id.
        """
        peers = self._process.components_by_name[
            'peers'
        ].membership.candidates()
        body = codec.schema.Drain.new_message(
            target=target, seconds=HOLD_SECONDS
        ).to_bytes()
        calls = pool.Pool(MAX_CALLS)
        jobs = [calls.spawn(self._ask, peer, body) for peer in peers]
        outstanding = self._hold(target, HOLD_SECONDS)
        gevent.joinall(jobs)
        return outstanding == 0 and all(job.value == 0 for job in jobs)

    def release(self, target: str) -> None:
        """Let all entries give a target new work again."""
        peers = self._process.components_by_name[
            'peers'
        ].membership.candidates()
        body = codec.schema.Drain.new_message(target=target).to_bytes()
        calls = pool.Pool(MAX_CALLS)
        for peer in peers:
            calls.spawn(self._ask, peer, body)
        self._hold(target, 0.0)
        calls.join()

    def _ask(self, peer: members.Member, body: bytes) -> int | None:
        try:
            answer = self._process.link.call(
                peer.address, 'drain', body, ASK_TIMEOUT_SECONDS
            )
            with codec.open_struct(
                codec.schema.DrainAnswer, answer.body
            ) as found:
                return found.outstanding
        except core_errors.KingcupfrontError:
            return None

    def _hold(self, target: str, seconds: float) -> int:
        self._signs.hold(target, seconds)
        item = self._process.router.targets_by_id.get(target)
        return item.outstanding if item is not None else 0

    def _on_drain(self, message: codec.Message) -> bytes:
        with codec.open_struct(codec.schema.Drain, message.body) as asked:
            seconds = min(asked.seconds, HOLD_SECONDS)
            outstanding = self._hold(asked.target, seconds)
        return codec.schema.DrainAnswer.new_message(
            outstanding=outstanding
        ).to_bytes()

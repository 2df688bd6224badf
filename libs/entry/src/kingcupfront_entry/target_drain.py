"""Drains a target before an order that would interrupt its requests."""

import gevent
from gevent import pool

from kingcupfront_core import errors as core_errors
from kingcupfront_entry import leaving
from kingcupfront_entry import state
from kingcupfront_peer import codec
from kingcupfront_peer import member as members

HOLD_SECONDS = 30.0
HOLD_TIMEOUT_SECONDS = 2.0
MAX_PARALLEL_CALLS = 32


class TargetDrain:
    """Asks every entry to send a target no new requests for a while.

    :param process: the state of the process.
    :param leaving_targets: the signs that targets are leaving, which also hold
        back targets that drain.
    """

    def __init__(
        self, process: state.State, leaving_targets: leaving.LeavingTargets
    ) -> None:
        self._process = process
        self._leaving_targets = leaving_targets
        process.link.handlers.register('drain')(self._on_drain)

    def request_idle(self, target: str) -> bool:
        """Hold back a target on every entry and return whether it is idle.

        It is idle if every entry that is listed or known to be live has
        agreed to send it nothing for :data:`HOLD_SECONDS` and has no requests
        in progress on it. An entry that does not answer counts as busy.

        :param target: the target's id.
        """
        peers = self._process.components_by_name[
            'peers'
        ].membership.candidates()
        body = codec.schema.Drain.new_message(
            target=target, seconds=HOLD_SECONDS
        ).to_bytes()
        call_pool = pool.Pool(MAX_PARALLEL_CALLS)
        calls_to_peers = [
            call_pool.spawn(self._hold_at_peer, peer, body) for peer in peers
        ]
        outstanding = self._hold_locally(target, HOLD_SECONDS)
        gevent.joinall(calls_to_peers)
        return outstanding == 0 and all(
            job.value == 0 for job in calls_to_peers
        )

    def release(self, target: str) -> None:
        """End the hold of a target on all entries.

        :param target: the target's id.
        """
        peers = self._process.components_by_name[
            'peers'
        ].membership.candidates()
        body = codec.schema.Drain.new_message(target=target).to_bytes()
        call_pool = pool.Pool(MAX_PARALLEL_CALLS)
        for peer in peers:
            call_pool.spawn(self._hold_at_peer, peer, body)
        self._hold_locally(target, 0.0)
        call_pool.join()

    def _hold_at_peer(self, peer: members.Member, body: bytes) -> int | None:
        try:
            answer = self._process.link.call(
                peer.address, 'drain', body, HOLD_TIMEOUT_SECONDS
            )
            with codec.open_struct(
                codec.schema.DrainAnswer, answer.body
            ) as found:
                return found.outstanding
        except core_errors.KingcupfrontError:
            return None

    def _hold_locally(self, target: str, seconds: float) -> int:
        self._leaving_targets.hold(target, seconds)
        known = self._process.router.targets_by_id.get(target)
        return known.outstanding if known is not None else 0

    def _on_drain(self, message: codec.Message) -> bytes:
        with codec.open_struct(codec.schema.Drain, message.body) as asked:
            seconds = min(asked.seconds, HOLD_SECONDS)
            outstanding = self._hold_locally(asked.target, seconds)
        return codec.schema.DrainAnswer.new_message(
            outstanding=outstanding
        ).to_bytes()

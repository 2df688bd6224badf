"""Sends orders to model engines until they match the configuration.

Every entry compares each engine with the configuration. For each engine the
entries agree by rendezvous hashing on the one that sends its orders; engines
that load weights from the same store share a sender, so that this one process
can pace the loads.
"""

import dataclasses
import logging
import typing

import gevent

from kingcupfront_config import instance_list
from kingcupfront_config import objects
from kingcupfront_core import errors as core_errors
from kingcupfront_core import rendezvous
from kingcupfront_entry import leaving
from kingcupfront_entry import state
from kingcupfront_entry import target_drain
from kingcupfront_order import client
from kingcupfront_order import desired_state
from kingcupfront_order import errors
from kingcupfront_order import order
from kingcupfront_order import sender_gate
from kingcupfront_order import weight_loads

LOG = logging.getLogger(__name__)
ROUND_INTERVAL_SECONDS = 1.0
CHECKS_VALID_SECONDS = 5.0
RECHECK_INTERVAL_ROUNDS = 10


class Orders:
    """Brings engines into the state that the configuration asks for.

    :param process: the state of the process.
    :param leaving_targets: the signs that targets are leaving.
    :param engines: the client for engines.
    """

    def __init__(
        self,
        process: state.State,
        leaving_targets: leaving.LeavingTargets,
        engines: client.OrderClient,
    ) -> None:
        self._process = process
        self._leaving_targets = leaving_targets
        self._engines = engines
        self._target_drain = target_drain.TargetDrain(process, leaving_targets)
        self._sender_gate = sender_gate.SenderGate(process.clock)
        self._weight_load_limiter = weight_loads.WeightLoadLimiter(
            process.clock
        )
        self._last_result_by_engine: dict[str, str] = {}
        self._matched_by_engine: dict[
            str, tuple[int, desired_state.DesiredState]
        ] = {}
        self._round = 0

    def follow(self) -> None:
        """Send due orders periodically, for ever."""
        while True:
            gevent.sleep(ROUND_INTERVAL_SECONDS)
            self._leaving_targets.expire_holds()
            self._round += 1
            if self._process.in_force.current is not None:
                self.send_due_orders()

    def send_due_orders(self) -> None:
        """Send at most one order to each engine that this process orders."""
        process = self._process
        current = process.in_force.current
        desired_by_engine = desired_state.desired_states_by_engine(
            current, process.instances
        )
        rows_by_id = {row.id: row for row in process.instances}
        services = current.by_name('service')
        for engine, desired in sorted(desired_by_engine.items()):
            key = f'store {desired.store}' if desired.store else engine
            sender = self._sender_for(key)
            view = (sender, process.in_force.digest, self._pause_count())
            settle = services[rows_by_id[engine].service].order_settle_seconds
            is_sender = sender == process.settings.instance
            if not self._sender_gate.may_send(engine, view, is_sender, settle):
                continue
            if self._is_due(engine, desired):
                self._order_engine(rows_by_id[engine], desired, current)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the last result for each engine, for a state dump."""
        return dict(sorted(self._last_result_by_engine.items()))

    def _sender_for(self, key: str) -> str:
        membership = self._process.components_by_name['peers'].membership
        names = [m.instance for m in membership.candidates()]
        if membership.own.usable:
            names.append(membership.own.instance)
        return rendezvous.rank(f'orders {key}', names)[0] if names else ''

    def _pause_count(self) -> int:
        # -1 stands for a membership that is not to be trusted now.
        heartbeat_protocol = self._process.components_by_name['peers']
        return (
            heartbeat_protocol.pause_detector.count
            if heartbeat_protocol.check_trusted()
            else -1
        )

    def _is_due(
        self, engine: str, desired: desired_state.DesiredState
    ) -> bool:
        match = (self._process.in_force.revision, desired)
        if self._matched_by_engine.get(engine) != match:
            return True
        return self._round % RECHECK_INTERVAL_ROUNDS == 0

    def _order_engine(
        self,
        row: instance_list.Instance,
        desired: desired_state.DesiredState,
        current: objects.ObjectSet,
    ) -> None:
        try:
            next_order = self._next_order(row, desired, current)
            if next_order is None:
                match = (current.revision, desired)
                self._matched_by_engine[row.id] = match
                return
            self._matched_by_engine.pop(row.id, None)
            if not self._may_send(row, next_order, desired, current):
                return
            self._engines.send(row.address, next_order)
            self._record_result(row, next_order, 'sent')
            if next_order.interrupts_requests:
                self._target_drain.release(row.id)
        except errors.FencedError as error:
            self._record_result(row, None, str(error))
        except core_errors.KingcupfrontError as error:
            self._record_result(row, None, f'failed: {error}')

    def _next_order(
        self,
        row: instance_list.Instance,
        desired: desired_state.DesiredState,
        current: objects.ObjectSet,
    ) -> order.Order | None:
        engine_state = self._engines.fetch_state(row.address)
        if engine_state.fencing > current.revision:
            raise errors.FencedError(
                f'obeys revision {engine_state.fencing}, newer than revision '
                f'{current.revision} in force here'
            )
        return order.next_order(engine_state, desired, current.revision)

    def _may_send(
        self,
        row: instance_list.Instance,
        next_order: order.Order,
        desired: desired_state.DesiredState,
        current: objects.ObjectSet,
    ) -> bool:
        process = self._process
        pauses, started = self._pause_count(), process.clock.monotonic()
        store = current.by_name('store').get(desired.store)
        paced = next_order.reads_weights and store is not None
        if paced and not self._weight_load_limiter.may_start(store):
            self._record_result(row, next_order, 'waits for the store')
            return False
        if next_order.interrupts_requests and not self._is_idle(row):
            self._record_result(
                row, next_order, 'waits until the engine is idle'
            )
            return False
        if self._next_order(row, desired, current) != next_order:
            return False
        if paced:
            self._weight_load_limiter.record_start(
                store, desired.weights_bytes
            )
        expired = process.clock.monotonic() - started > CHECKS_VALID_SECONDS
        same_revision = process.in_force.revision == current.revision
        return (
            same_revision
            and not expired
            and self._pause_count() == pauses != -1
        )

    def _is_idle(self, row: instance_list.Instance) -> bool:
        if not self._target_drain.request_idle(row.id):
            return False
        return self._engines.fetch_state(row.address).outstanding_requests == 0

    def _record_result(
        self,
        row: instance_list.Instance,
        next_order: order.Order | None,
        result: str,
    ) -> None:
        fields = (
            dataclasses.asdict(next_order) if next_order is not None else {}
        )
        step = f'{next_order.kind if next_order else "none"}: {result}'
        if self._last_result_by_engine.get(row.id) != step or result == 'sent':
            LOG.info(
                'engine_order',
                extra=fields | {'engine': row.id, 'result': result},
            )
        self._last_result_by_engine[row.id] = step

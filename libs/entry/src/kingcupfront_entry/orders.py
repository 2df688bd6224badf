"""Orders from entries to model engines."""

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
from kingcupfront_order import errors
from kingcupfront_order import order
from kingcupfront_order import pace
from kingcupfront_order import turn
from kingcupfront_order import wanted

LOG = logging.getLogger(__name__)
ROUND_SECONDS = 1.0
ACT_WITHIN_SECONDS = 5.0
CHECK_ROUNDS = 10


class Orders:
    """Brings engines into the state that the configuration wants.

    :param process: the process.
    :param signs: the signs that targets leave.
    :param engines: reads engines and sends them orders.
    """

    def __init__(
        self,
        process: state.State,
        signs: leaving.LeavingTargets,
        engines: client.OrderClient,
    ) -> None:
        self._process = process
        self._signs = signs
        self._engines = engines
        self._target_drain = target_drain.TargetDrain(process, signs)
        self._turn = turn.Turn(process.clock)
        self._pace = pace.Pace(process.clock)
        self._last_by_engine: dict[str, str] = {}
        self._checked_by_engine: dict[str, tuple[int, wanted.Wanted]] = {}
        self._round = 0

    def follow(self) -> None:
        """Compare and order, for ever."""
        while True:
            gevent.sleep(ROUND_SECONDS)
            self._signs.expire_holds()
            self._round += 1
            if self._process.in_force.current is not None:
                self.act()

    def act(self) -> None:
        """Send an order to each engine that is this process's to order."""
        process = self._process
        current = process.in_force.current
        targets = wanted.wanted_by_engine(current, process.instances)
        rows = {row.id: row for row in process.instances}
        services = current.by_name('service')
        for engine, target in sorted(targets.items()):
            key = f'store {target.store}' if target.store else engine
            sender = self._sender(key)
            view = (sender, process.in_force.digest, self._pauses())
            settle = services[rows[engine].service].order_settle_seconds
            mine = sender == process.settings.instance
            if not self._turn.granted(engine, view, mine, settle):
                continue
            if self._due(engine, target):
                self._order(rows[engine], target, current)

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the last step for each engine, for a state dump."""
        return dict(sorted(self._last_by_engine.items()))

    def _sender(self, key: str) -> str:
        membership = self._process.components_by_name['peers'].membership
        names = [m.instance for m in membership.candidates()]
        if membership.own.usable:
            names.append(membership.own.instance)
        return rendezvous.rank(f'orders {key}', names)[0] if names else ''

    def _pauses(self) -> int:
        beats = self._process.components_by_name['peers']
        return beats.pause_detector.count if beats.check_trusted() else -1

    def _due(self, engine: str, target: wanted.Wanted) -> bool:
        done = (self._process.in_force.revision, target)
        if self._checked_by_engine.get(engine) != done:
            return True
        return self._round % CHECK_ROUNDS == 0

    def _order(
        self,
        row: instance_list.Instance,
        target: wanted.Wanted,
        current: objects.ObjectSet,
    ) -> None:
        try:
            item = self._next(row, target, current)
            if item is None:
                done = (current.revision, target)
                self._checked_by_engine[row.id] = done
                return
            self._checked_by_engine.pop(row.id, None)
            if not self._may_send(row, item, target, current):
                return
            self._engines.send(row.address, item)
            self._note(row, item, 'sent')
            if item.interrupting:
                self._target_drain.release(row.id)
        except errors.FencedError as error:
            self._note(row, None, str(error))
        except core_errors.KingcupfrontError as error:
            self._note(row, None, f'failed: {error}')

    def _next(
        self,
        row: instance_list.Instance,
        target: wanted.Wanted,
        current: objects.ObjectSet,
    ) -> order.Order | None:
        held = self._engines.state(row.address)
        if held.fencing > current.revision:
            raise errors.FencedError(f'obeys revision {held.fencing}')
        return order.next_order(held, target, current.revision)

    def _may_send(
        self,
        row: instance_list.Instance,
        item: order.Order,
        target: wanted.Wanted,
        current: objects.ObjectSet,
    ) -> bool:
        process = self._process
        pauses, started = self._pauses(), process.clock.monotonic()
        store = current.by_name('store').get(target.store)
        paced = item.reads_weights and store is not None
        if paced and not self._pace.allowed(store):
            self._note(row, item, 'waits for the store')
            return False
        if item.interrupting and not self._idle(row):
            self._note(row, item, 'waits until the engine is idle')
            return False
        if self._next(row, target, current) != item:
            return False
        if paced:
            self._pace.begin(store, target.weights_bytes)
        late = process.clock.monotonic() - started > ACT_WITHIN_SECONDS
        same = process.in_force.revision == current.revision
        return same and not late and self._pauses() == pauses != -1

    def _idle(self, row: instance_list.Instance) -> bool:
        if not self._target_drain.request_idle(row.id):
            return False
        return self._engines.state(row.address).busy == 0

    def _note(
        self,
        row: instance_list.Instance,
        item: order.Order | None,
        result: str,
    ) -> None:
        fields = dataclasses.asdict(item) if item is not None else {}
        text = f'{item.kind if item else "none"}: {result}'
        if self._last_by_engine.get(row.id) != text or result == 'sent':
            LOG.info(
                'engine_order',
                extra=fields | {'engine': row.id, 'result': result},
            )
        self._last_by_engine[row.id] = text

"""The prefix cache of the stand-in for a model engine, and its events."""

import collections
import itertools
import typing

import bottle
import gevent

from kingcupfront_standin import faults

MAX_PREFIXES = 256
KEPT_EVENTS = 1000
POLL_SECONDS = 0.05
MAX_WAIT_SECONDS = 30.0


class PrefixCache:
    """Keeps the prefixes used last and tells of each change.

    :param active: returns the faults that are switched on.
    :param limit: the most prefixes that it holds.
    """

    def __init__(
        self,
        active: typing.Callable[[], faults.Faults],
        limit: int = MAX_PREFIXES,
    ) -> None:
        self._active = active
        self._limit = limit
        self._held: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._numbers = itertools.count(1)
        self._events: collections.deque[dict[str, typing.Any]] = (
            collections.deque(maxlen=KEPT_EVENTS)
        )

    def mount(self, app: bottle.Bottle) -> None:
        """Add the route to an application."""
        app.get('/v1/cache/events', callback=self._read)

    def use(self, names: list[str]) -> None:
        """Take in the prefixes of a request, outermost first.

        :param names: hashes in hexadecimal.
        """
        added = [name for name in names if name not in self._held]
        for name in names:
            self._held[name] = None
            self._held.move_to_end(name)
        removed = []
        while len(self._held) > self._limit:
            removed.append(self._held.popitem(last=False)[0])
        if not added and not removed:
            return
        event = {
            'number': next(self._numbers),
            'added': added,
            'removed': removed,
        }
        if self._active().cache_gap:
            self._active().cache_gap -= 1
            return
        self._events.append(event)

    def _read(self) -> typing.Any:
        if self._active().cache_down:
            bottle.abort(404, 'no cache events')
        after = int(bottle.request.query.get('after') or 0)
        wait = float(bottle.request.query.get('wait') or 0)
        rounds = int(min(wait, MAX_WAIT_SECONDS) / POLL_SECONDS)
        for _ in range(rounds):
            if self._events and self._events[-1]['number'] > after:
                break
            gevent.sleep(POLL_SECONDS)
        return {'events': [e for e in self._events if e['number'] > after]}

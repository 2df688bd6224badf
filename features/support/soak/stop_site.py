"""The site around stops: slow engines, and what changes beside a stop."""

import gevent

from features.support.soak import planted_stops
from features.support.soak import records
from features.support.soak import stop_load
from features.support.soak import world

EVENT_GAP_SECONDS = 0.08
PREFILL_SECONDS = (0.05, 0.05, 0.3, 1.0, 3.0)
SLOW_WORK_SECONDS = (0.3, 1.0, 2.5)
LONG_ANSWER_BYTES = 400000
UNFRAMED_PART = 0.25
# Longer than callers stay idle.
IDLE_TIMEOUT_MS = 15000
DISTURB_SECONDS = (0.2, 1.2)
FULL_SECONDS = (0.5, 3.0)


class Site(world.World):
    """A site with the routes of the load.

    :param rng: draws what is slow and what changes.
    """

    gap = EVENT_GAP_SECONDS

    def __init__(self, stack, rng, engine_count, play):
        self._rng = rng
        self._graces = [float(grace) for grace in play.graces.split(',')]
        self._has_room = play.planted not in planted_stops.WITHOUT_ROOM
        super().__init__(
            stack,
            gateway_count=play.gateways,
            engine_count=engine_count,
            program=play.planted and planted_stops.program(play.planted),
        )
        for gateway in self.gateways:
            gateway.code_folder = play.code
            self.draw_grace(gateway)

    def _set_up_routes(self):
        super()._set_up_routes()
        self.limits['idle_timeout_ms'] = IDLE_TIMEOUT_MS
        for name, kind in stop_load.KINDS.items():
            self.add_route(name, **kind.route)

    def draw_grace(self, gateway):
        """Write a grace into the settings of a gateway."""
        grace = self._rng.choice(self._graces)
        gateway.bounds = world.BOUNDS | {'grace_s': grace}
        gateway.write_settings()

    def new_target(self, service):
        """Start a target that is slow in a way of its own."""
        target = super().new_target(service)
        if service == 'engine':
            target.gap = EVENT_GAP_SECONDS
            target.prefill = self._rng.choice(PREFILL_SECONDS)
            target.is_unframed = self._rng.random() < UNFRAMED_PART
            target.is_full = not self._has_room
        elif service == 'other-1':
            target.work_seconds = self._rng.choice(SLOW_WORK_SECONDS)
        elif service == 'other-2':
            target.answer_padding = b'p' * LONG_ANSWER_BYTES
        return target

    def disturb(self):
        """Change something now and then, until it is killed."""
        self._lose_peer()
        actions = self.publish, self._leave, self._fill, self._pause
        while True:
            gevent.sleep(self._rng.uniform(*DISTURB_SECONDS))
            self._rng.choice(actions)()

    def _lose_peer(self):
        """Kill the last gateway, which is never stopped, and start it."""
        peer, start = self.gateways[-1], records.now()
        peer.kill()
        peer.restart()
        peer.wait_ready()
        self.ledger.add_past_trouble('kill', peer.name, start)

    def _leave(self):
        engine = self._rng.choice(self.live('engine'))
        self.new_target('engine')
        lingers = self._rng.choice((0.3, 1.5))
        self.leave(engine, is_listed=self._rng.random() < 0.6, lingers=lingers)

    def _fill(self):
        """Let one engine or all of them have no room for a while."""
        engines = self.live('engine')
        if self._rng.random() < 0.6:
            engines = [self._rng.choice(engines)]
        for engine in engines:
            engine.is_full = True
        seconds = self._rng.uniform(*FULL_SECONDS)
        gevent.spawn_later(seconds, self._empty, engines)

    def _empty(self, engines):
        for engine in engines:
            engine.is_full = not self._has_room

    def _pause(self):
        engine = self._rng.choice(self.live('engine'))
        engine.faults.append(f'pause at {self._rng.randint(1, 10)}')

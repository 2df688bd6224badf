"""The world of one run: a store, targets, gateways and an operator."""

import itertools
import tempfile

import gevent

from features.support import loopback
from features.support import platform_site
from features.support.soak import gateways
from features.support.soak import records
from features.support.soak import targets

# The platform's bounds, in its own words and units, and here in seconds.
BOUNDS = {
    'revoke_ms': 5000,
    'grace_s': 8,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'warmup_overrun': 1.5,
    # Few callers of a soak reach a higher limit.
    'warmup_slack': 3,
}
REVOKE_SECONDS = 5.0
GRACE_SECONDS = 8.0
DRAIN_SECONDS = 2.5
APPLY_SECONDS = 2.5
CONTACT_SECONDS = 4.0
STREAM_TIMEOUT_SECONDS = 12.0
PLAIN_TIMEOUT_SECONDS = 4.0
PLAIN_SERVICES = ('plain', 'other-1', 'other-2')
# A pause of this length of the soak itself excuses what is late.
LAG_SECONDS = 0.3
LAG_TICK_SECONDS = 0.1
ROTATION_SECONDS = 1.0
CRASHED_SECONDS = 1.0
MAX_BODY_BYTES = 16 * 1024 * 1024
MOVING_ROUTE = 'moving'
# The route whose requests are limited to a region.
REGIONAL_ROUTE = 'regional'
REGION_BY_ZONE = {'zone-a': 'region-a', 'zone-b': 'region-b'}
ZONES = tuple(REGION_BY_ZONE)
# From this time after its start nothing new reaches an evacuated zone.
EVACUATE_SECONDS = 5.0
WARMUP_SECONDS = 5.0
WARMUP_RATE = 1.0
# What a cold target may get in a second, from all gateways together.
COLD_LIMIT = WARMUP_RATE * BOUNDS['warmup_overrun'] + BOUNDS['warmup_slack']
# The settings of the platform name at most three.
MOST_SEEDS = 3


class World(platform_site.Site):
    """Everything that runs; the stand-ins live in this process.

    :param stack: what is started ends with it.
    :param program: the arguments of the gateways' interpreter, or None.
    """

    def __init__(self, stack, *, gateway_count, engine_count, program=None):
        self.ledger = records.Ledger()
        super().__init__(stack)
        self.max_body_bytes = MAX_BODY_BYTES
        self._names = itertools.count(1)
        self.is_over = False
        # What callers send next in place of a usual request.
        self.unusual = []
        self.rotation = []
        # The part of prompts on which engines end at the moment, if any.
        self.crashing_part = None
        # How many faults let callers lose the connections of their streams.
        self.losing = 0
        # The software of engines that start.
        self.software = 'v1'
        self.gateways = []
        self._set_up_routes()
        for service in PLAIN_SERVICES:
            for _ in range(2):
                self.new_target(service)
        for _ in range(engine_count):
            self.new_target('engine')
        self.publish()
        folder = stack.enter_context(
            tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        )
        hosts = [loopback.new_host() for _ in range(gateway_count)]
        for host in hosts:
            self._add_gateway(host, hosts[:MOST_SEEDS], folder, program)

    def _set_up_routes(self):
        self.services['plain'] |= {
            'warmup_s': WARMUP_SECONDS,
            'warmup_per_s': WARMUP_RATE,
        }
        for name in ('stream', 'resume'):
            self.routes[name]['timeout_ms'] = STREAM_TIMEOUT_SECONDS * 1000
        self.add_route(
            MOVING_ROUTE,
            route_type='idempotent',
            max_attempts=2,
            service=PLAIN_SERVICES[1],
        )
        self.add_route(
            REGIONAL_ROUTE,
            route_type='idempotent',
            max_attempts=2,
            allowed_regions=[REGION_BY_ZONE[ZONES[1]]],
        )

    def _add_gateway(self, host, seeds, folder, program):
        number = len(self.gateways)
        instance = gateways.Gateway(
            f'gateway-{number + 1}',
            host,
            ZONES[number % 2],
            self.store_address,
            folder,
            BOUNDS,
            program,
            [f'{seed}:{gateways.PEERS_PORT}' for seed in seeds],
        )
        self.stack.callback(instance.close)
        self.gateways.append(instance)

    def new_target(self, service, *, name=None, **entry):
        """Start a target and list it.

        :param name: an id that was used before, in place of a new one.
        :param entry: fields of its first entry.
        """
        number = next(self._names)
        zone = ZONES[number % 2]
        if name is not None:
            zone = self.ledger.zone_by_target[name]
        name = name or f'{service}-{number}'
        if service == 'engine':
            target = targets.Engine(name, self.copies, zone=zone)
            target.site = self
            target.on_crash = self._crashed
            target.version = self.software
            self.ledger.services.append(
                records.Service(name, target.version, records.now())
            )
        else:
            target = targets.Plain(name, service=service, zone=zone)
        target.ledger = self.ledger
        self.ledger.zone_by_target[name] = zone
        return self._list(target.serve(self.stack), **entry)

    def live(self, service=None):
        """Return the targets that take work."""
        return [
            target
            for target in self.targets.values()
            if service in (None, target.service)
            and not target.is_draining
            and f'servers/{target.id}' in self.store.values_by_key
        ]

    def leave(self, target, *, is_listed, lingers):
        """Let a target drain; it serves on for a while and then ends.

        Nothing happens if it has ended by now.

        :param lingers: seconds beyond the least time that it serves on.
        """
        if self.targets.get(target.id) is not target:
            return
        if is_listed:
            self.drain(target.id)
        else:
            target.is_draining = True
            self.store.delete(f'servers/{target.id}')
        self.ledger.drained_at_by_target[target.id] = records.now()
        self.ledger.end_service(target.id)
        gevent.spawn_later(DRAIN_SECONDS + lingers, self.end, target)

    def end(self, target):
        """End a target at once."""
        self.ledger.add_trouble('ended', target.id, 1e9)
        target.is_draining = True
        target.crash()
        if self.targets.get(target.id) is target:
            self.ledger.end_service(target.id)
            del self.targets[target.id]
        if f'servers/{target.id}' in self.store.values_by_key:
            gevent.spawn_later(3.0, self._lapse, target)

    def _crashed(self, engine):
        """Replace an engine that ended on a part of a prompt."""
        part = engine.crashing_part
        self.ledger.crashes_by_part[part].append(records.now())
        self.end(engine)
        gevent.sleep(CRASHED_SECONDS)
        self.new_target('engine')

    def _lapse(self, target):
        is_used_again = target.id in self.targets
        key = f'servers/{target.id}'
        if key in self.store.values_by_key and not is_used_again:
            self.store.delete(key)

    def publish(self, version=None):
        super().publish(version)
        self.ledger.configurations.append(
            (records.now(), self.version, self._allowed())
        )
        regions = self.routes[REGIONAL_ROUTE]['allowed_regions']
        self.ledger.regions.append((records.now(), tuple(regions)))

    def _allowed(self):
        return {name: route['service'] for name, route in self.routes.items()}

    def add_key(self):
        """Publish a new key and return it."""
        key = f'key-{next(self._names)}'
        self.keys['north'].append(key)
        self.publish()
        return key

    def revoke(self, key):
        self.keys['north'].remove(key)
        self.publish()
        self.ledger.revoked_at_by_key[key] = records.now()

    @property
    def extra_keys(self):
        return [k for k in self.keys['north'] if k != platform_site.KEY]

    def run_gateways(self):
        """Start all and follow which of them take new connections."""
        for instance in self.gateways:
            instance.start()
        for instance in self.gateways:
            instance.wait_ready()
        self.rotation = list(self.gateways)
        for instance in self.gateways:
            self.stack.callback(
                gevent.spawn(self._follow, instance).kill, block=False
            )
        self.stack.callback(gevent.spawn(self._watch_lag).kill, block=False)

    def _follow(self, instance):
        """Take an instance out of the rotation after two misses."""
        misses = 0
        while True:
            gevent.sleep(ROTATION_SECONDS)
            self._note_end(instance)
            status = instance.get('/v1/readyz')[0]
            is_ready = status == 200
            misses = 0 if is_ready else misses + 1
            if misses >= 2 and not status:
                self.ledger.missed_checks.append((instance, records.now()))
            if is_ready and instance not in self.rotation:
                self.rotation.append(instance)
            if misses >= 2 and instance in self.rotation:
                self.rotation.remove(instance)

    def _note_end(self, instance):
        """Note a process that ended by itself, and start it again."""
        if instance.is_running or instance.is_stopping:
            return
        self.ledger.early_violations.add(
            f'{instance.name} ended by itself: {instance.popen.returncode}'
        )
        instance.restart()

    def candidates(self):
        """Return the gateways that get new connections."""
        if len(self.rotation) * 2 < len(self.gateways):
            return self.gateways
        return self.rotation

    def _watch_lag(self):
        before = records.now()
        while True:
            gevent.sleep(LAG_TICK_SECONDS)
            after = records.now()
            if after - before > LAG_TICK_SECONDS + LAG_SECONDS:
                self.ledger.troubles.append(
                    records.Trouble('lag of the soak', 'all', before, after)
                )
            before = after

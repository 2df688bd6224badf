"""Faults of the soak, by name; each is a task of its own."""

import functools
import signal

import gevent

from features.support import platform_server
from features.support.soak import gateways
from features.support.soak import records
from features.support.soak import world
from kingcupfront_core import registry

faults = registry.Registry('fault of the soak')
# Bad answers that a target gives now and then.
BAD_PLAIN = ('shed', 'cut', 'reset', 'no http', 'of another', 'unsigned')
BAD_PLAIN += ('extra', 'stray first', 'failure', 'unframed', 'silent')
BAD_ENGINE = ('shed', 'reset at 3', 'half at 5', 'skip at 4', 'silent at 6')
STORE_FAULTS = ('busy', 'many', 'garbage', 'silent')
FEWEST_TARGETS = 2
# A service without targets.
UNSERVED = 'unserved'
SLOW_GAP_SECONDS = 0.06
LONG_REQUESTS = 3
# More than the sockets on both sides of a relay hold. The first attempt gets
# a part of the deadline; targets read on later than that.
LONG_BODY = b'x' * (platform_server.LONG_BODY_BYTES + 4 * 1024 * 1024)
LONG_REQUEST = records.Message(LONG_BODY, LONG_BODY, deadline=1.6)
SMALL_CHUNKS = records.Message(
    b'x' * 800000,
    b'1\r\nx\r\n' * 800000 + b'0\r\n\r\n',
    (('Transfer-Encoding', 'chunked'),),
)
STORM_SECONDS = 3.0
# How long zones are evacuated, longer than gateways may take to obey.
EVACUATION_SECONDS = (8.0, 10.0)
# The time between the stop of a stream and its next event elsewhere, and the
# time until a gateway learns of an evacuation.
MOVE_SECONDS = 4.0
# How long targets ask for silence, and how often each.
SILENCE_SECONDS = 8.0
LOST_WRITES = 3
# Servers register again within two seconds after a restore.
REWRITE_SECONDS = 1.5
RESTORE_SECONDS = 6.0
COLD_SECONDS = 5.0
REFUSALS = 30
# Longer than gateways take as a sign of trouble, and shorter than engines
# need to go on.
SOUND_SILENCE_SECONDS = (1.1, 1.6)
# More than the copy of a generation has.
OTHER_TOKENS = 8000
# What may strike beside engines that fall silent.
BESIDE_SILENCE = ('', '', 'route moves', 'hup', 'regions change')
# Of the gateways, when a part of them is killed.
KILLED_PART = 0.4
# From the entry that names a version until an engine in place has it.
RENAMED_SECONDS = 0.8
# Faults in which all targets of a service give the same bad answer: the
# service, the answer, and how often each target gives it.
SPOILED = {
    'plain targets shed': ('plain', 'shed', 30),
    'lost answers': ('plain', 'cut', 6),
    'crossed answers': ('plain', 'of another', 2),
    'silent answers': ('plain', 'silent', 2),
    'skipped events': ('engine', 'skip at 2', 2),
    'silent engines': ('engine', 'silent at 2', 1),
    'stalled engines': ('engine', 'comments at 2', 1),
}


def _pick_gateway(site, rng):
    running = [g for g in site.gateways if g.is_running and not g.is_stopping]
    return rng.choice(running) if running else None


@faults.register('stop')
def stop(site, rng):
    """SIGTERM, then SIGKILL after the grace, then a new start."""
    gateway = _pick_gateway(site, rng)
    if gateway is None:
        return
    planned = [gateway.name, gateway.pid, records.now(), float('inf')]
    site.ledger.stops.append(planned)
    gateway.stop(world.GRACE_SECONDS)
    planned[3] = records.now()
    gateway.restart()
    _wait_ready(site, gateway, planned[2], 'stop')


@faults.register('kill')
def kill(site, rng):
    gateway = _pick_gateway(site, rng)
    if gateway is None:
        return
    start = records.now()
    gateway.kill()
    gateway.restart()
    _wait_ready(site, gateway, start, 'kill')


@faults.register('kill all')
def kill_all(site, rng):
    start = records.now()
    for gateway in site.gateways:
        gateway.kill()
    gevent.sleep(rng.uniform(0.1, 1.0))
    for gateway in site.gateways:
        gateway.restart()
    for gateway in site.gateways:
        _wait_ready(site, gateway, start, 'kill')


@faults.register('part of the gateways is killed')
def kill_part(site, rng):
    start = records.now()
    count = max(1, int(KILLED_PART * len(site.gateways)))
    chosen = rng.sample(site.gateways, count)
    for gateway in chosen:
        gateway.kill()
    for gateway in chosen:
        gateway.restart()
    for gateway in chosen:
        _wait_ready(site, gateway, start, 'kill')


def _wait_ready(site, gateway, start, kind):
    end = records.now() + gateways.START_SECONDS
    while records.now() < end and gateway.is_wanted:
        if gateway.get('/v1/readyz')[0] == 200:
            break
        gevent.sleep(0.1)
    site.ledger.add_past_trouble(kind, gateway.name, start)


@faults.register('pause')
def pause(site, rng):
    gateway = _pick_gateway(site, rng)
    if gateway is None:
        return
    seconds = rng.choice((0.5, 2.0, 6.0))
    start = records.now()
    gateway.signal(signal.SIGSTOP)
    gevent.sleep(seconds)
    gateway.signal(signal.SIGCONT)
    site.ledger.add_past_trouble('pause', gateway.name, start)


@faults.register('hup')
def hup(site, rng):
    """Write the settings anew and tell the process, more than once."""
    gateway = _pick_gateway(site, rng)
    if gateway is None:
        return
    start = records.now()
    for _ in range(rng.randint(1, 3)):
        gateway.write_settings()
        gateway.signal(signal.SIGHUP)
        gevent.sleep(rng.uniform(0, 0.3))
    site.ledger.add_past_trouble('hup', gateway.name, start)


@faults.register('store fault')
def store_fault(site, rng):
    kind = rng.choice(STORE_FAULTS)
    seconds = rng.uniform(0.5, 6.0)
    site.ledger.add_trouble(f'store {kind}', 'store', seconds)
    site.store.fault = kind
    gevent.sleep(seconds)
    site.store.fault = ''


@faults.register('store forgets')
def store_forgets(site, rng):
    site.ledger.add_trouble('store forgets', 'store', 1.0)
    site.store.forget()


@faults.register('store is restored')
def store_restored(site, rng):
    """Lose the last writes of the store; their writers repeat them."""
    copied = site.store.copy()
    for number in range(LOST_WRITES):
        site.store.put('other/counter', {'number': number})
    gevent.sleep(rng.uniform(1.0, 2.0))
    site.ledger.add_trouble('store is restored', 'store', RESTORE_SECONDS)
    before = dict(site.store.values_by_key)
    site.store.restore(copied)
    # Issued at revisions that the gateways have seen.
    site.publish()
    for number in range(LOST_WRITES):
        site.store.put('other/counter', {'number': number})
    gevent.sleep(rng.uniform(0.1, REWRITE_SECONDS))
    _write_servers(site, before)


def _write_servers(site, before):
    """Write again what the servers had written before a restore."""
    for key in set(site.store.values_by_key) | set(before):
        server = site.targets.get(key.removeprefix('servers/'))
        if not key.startswith('servers/'):
            continue
        if server is not None and key in before:
            site.store.put(key, server.entry())
        elif key not in before and key in site.store.values_by_key:
            is_ended = server is None or server.is_draining
            if is_ended:
                site.store.delete(key)


@faults.register('service starts cold')
def starts_cold(site, rng):
    """All targets of a service are replaced by ones that just started."""
    former = site.live('plain')
    for _ in world.ZONES:
        target = site.new_target('plain', warmup_left_ms=COLD_SECONDS * 1000)
        now = records.now()
        site.ledger.cold_by_target[target.id] = (now, now + COLD_SECONDS)
    for target in former:
        site.leave(target, is_listed=True, lingers=rng.uniform(0.3, 1.0))


@faults.register('store path')
def store_path(site, rng):
    """Cut, slow down or silence the ways of some gateways to the store."""
    count = rng.choice((1, 1, 2, len(site.gateways)))
    seconds = rng.uniform(1.0, 7.0)
    how = rng.choice(('there', 'back', 'both', 'slow', 'reset', 'forget'))
    for gateway in rng.sample(site.gateways, min(count, len(site.gateways))):
        site.ledger.add_trouble(f'path {how}', gateway.name, seconds)
        gevent.spawn(_disturb, gateway.store, how, seconds, rng)


def _disturb(path, how, seconds, rng):
    if how in ('there', 'both'):
        path.there.silence()
    if how in ('back', 'both'):
        path.back.silence()
    if how == 'slow':
        path.there.delay = path.back.delay = rng.uniform(0.05, 0.4)
    if how == 'reset':
        path.reset()
    if how == 'forget':
        path.forget()
    gevent.sleep(seconds)
    path.there.delay = path.back.delay = 0.0
    path.heal()


def _pick_target(site, rng, service=None):
    """Return a target whose service keeps enough others."""
    service = service or rng.choice(('engine', 'engine', 'plain', 'other-1'))
    live = site.live(service)
    return rng.choice(live) if len(live) >= FEWEST_TARGETS else None


@faults.register('target path')
def target_path(site, rng):
    target = _pick_target(site, rng)
    if target is None:
        return
    seconds = rng.uniform(0.5, 5.0)
    how = rng.choice(('there', 'back', 'both', 'slow', 'reset', 'forget'))
    site.ledger.add_trouble(f'path {how}', target.id, seconds)
    _disturb(target.relay, how, seconds, rng)


@faults.register('target crash')
def target_crash(site, rng):
    target = _pick_target(site, rng)
    if target is None:
        return
    site.end(target)
    gevent.sleep(rng.uniform(0.5, 3.0))
    site.new_target(target.service)


@faults.register('address used again')
def reuse(site, rng):
    """A target of another service gets the address of one that ended."""
    target = _pick_target(site, rng, 'plain')
    if target is None:
        return
    site.end(target)
    other = site.new_target('other-2')
    target.relay.target = other.behind
    gevent.sleep(rng.uniform(2.0, 4.0))
    site.new_target('plain')


@faults.register('target leaves')
def target_leaves(site, rng):
    """Replace some targets one after the other."""
    for _ in range(rng.randint(1, 3)):
        target = _pick_target(site, rng)
        if target is None:
            return
        site.new_target(target.service)
        gevent.sleep(rng.uniform(0.3, 1.0))
        site.leave(
            target,
            is_listed=rng.random() < 0.6,
            lingers=rng.choice((0.3, 0.3, 4.0)),
        )


@faults.register('bad answers')
def bad_answers(site, rng):
    for _ in range(rng.randint(2, 8)):
        target = rng.choice(site.live())
        is_engine = isinstance(target, platform_server.Engine)
        target.faults.append(
            rng.choice(BAD_ENGINE if is_engine else BAD_PLAIN)
        )
        site.ledger.add_trouble('bad answers', target.id, 3.0)
        gevent.sleep(rng.uniform(0, 0.3))


@faults.register('shed storm')
def shed_storm(site, rng):
    """All targets of a service turn requests away for a while."""
    service = rng.choice(('engine', 'plain'))
    _spoil_all(service, 'shed', rng.randint(5, 30), site, rng)


def _spoil_all(service, fault, count, site, rng):
    """Let all targets of a service give some bad answers, for a while."""
    for target in site.live(service):
        target.faults += [fault] * count
        site.ledger.add_trouble('bad answers', target.id, STORM_SECONDS)
    gevent.sleep(STORM_SECONDS)
    for target in site.live(service):
        target.faults[:] = [f for f in target.faults if f != fault]


@faults.register('unframed engine leaves')
def unframed_leaves(site, rng):
    """An engine leaves whose streams end with their connections."""
    target = site.new_target('engine')
    target.is_unframed = True
    # Its streams last, so that some run as it leaves.
    target.gap = SLOW_GAP_SECONDS
    gevent.sleep(rng.uniform(1.5, 3.0))
    site.leave(target, is_listed=True, lingers=1.0)


@faults.register('target lingers')
def target_lingers(site, rng):
    """A target that has left serves on for seconds."""
    target = _pick_target(site, rng, rng.choice(('plain', 'engine')))
    if target is not None:
        site.new_target(target.service)
        site.leave(target, is_listed=True, lingers=4.0)


for _name, _arguments in SPOILED.items():
    faults.register(_name)(functools.partial(_spoil_all, *_arguments))


@faults.register('route moves')
def route_moves(site, rng):
    """The moving route goes to another service, perhaps in a storm."""
    for _ in range(rng.choice((1, 1, 4))):
        route_moves_once(site, rng)
        gevent.sleep(rng.uniform(0.1, 0.4))


@faults.register('route moves once')
def route_moves_once(site, rng):
    route = site.routes[world.MOVING_ROUTE]
    now_at = world.PLAIN_SERVICES.index(route['service'])
    others = world.PLAIN_SERVICES[1:]
    route['service'] = others[now_at % len(others)]
    site.publish(site.version + rng.randint(1, 5))


@faults.register('regions change')
def regions_change(site, rng):
    route = site.routes[world.REGIONAL_ROUTE]
    regions = [*world.REGION_BY_ZONE.values()]
    route['allowed_regions'] = rng.sample(regions, rng.choice((1, 1, 2)))
    site.publish()


@faults.register('zone is evacuated')
def zone_is_evacuated(site, rng):
    zone = rng.choice(world.ZONES)
    key = f'op/evacuate/{zone}'
    if key in site.store.values_by_key:
        return
    site.store.put(key, {})
    evacuation = [zone, records.now(), float('inf')]
    site.ledger.evacuations.append(evacuation)
    for target_id, its_zone in site.ledger.zone_by_target.items():
        if its_zone == zone:
            # A stream that is stopped to be moved then cannot go on.
            site.ledger.add_trouble('evacuation', target_id, MOVE_SECONDS)
    gevent.sleep(rng.uniform(*EVACUATION_SECONDS))
    evacuation[2] = records.now()
    site.store.delete(key)


@faults.register('early answers')
def early_answers(site, rng):
    """Targets answer long requests at once and read on late."""
    for target in site.live('plain'):
        target.early_answers += [''] * LONG_REQUESTS
    site.unusual += [LONG_REQUEST] * LONG_REQUESTS


@faults.register('chunks of one byte')
def small_chunks(site, rng):
    """A caller sends a body in chunks of one byte."""
    site.unusual.append(SMALL_CHUNKS)


@faults.register('service goes and comes back')
def service_goes(site, rng):
    """The service of engines is not listed for a while."""
    if 'engine' not in site.services:
        return
    _rename_service(site, 'engine', UNSERVED)
    gevent.sleep(rng.uniform(1.0, 3.0))
    _rename_service(site, UNSERVED, 'engine')


def _rename_service(site, old, new):
    site.services[new] = site.services.pop(old) | {'name': new}
    for route in site.routes.values():
        if route['service'] == old:
            route['service'] = new
    site.publish()


@faults.register('key comes and goes')
def key_goes(site, rng):
    key = site.add_key()
    gevent.sleep(rng.uniform(2.0, 5.0))
    site.revoke(key)


@faults.register('key goes during a cut')
def key_goes_in_cut(site, rng):
    """Take a key away while gateways do not hear of it."""
    key = site.add_key()
    gevent.sleep(3.0)
    chosen = rng.sample(site.gateways, max(1, len(site.gateways) // 2))
    for gateway in chosen:
        site.ledger.add_trouble('path both', gateway.name, 8.0)
        gevent.spawn(_disturb, gateway.store, 'both', 8.0, rng)
    gevent.sleep(0.2)
    site.revoke(key)
    gevent.sleep(8.0)


@faults.register('prompts that crash engines')
def crashing_prompts(site, rng):
    """A part of prompts ends each engine that begins to write on it."""
    if site.crashing_part is not None:
        return
    site.crashing_part = f'bad-{rng.getrandbits(32):08x}'
    gevent.sleep(rng.uniform(8.0, 12.0))
    site.crashing_part = None


@faults.register('target says that it leaves')
def target_says(site, rng):
    """A target leaves and says so in its replies only."""
    target = _pick_target(site, rng, rng.choice(('plain', 'engine')))
    if target is None:
        return
    site.new_target(target.service)
    target.signs = {'Server-Leaving': '1'}
    gevent.sleep(6.0)
    site.end(target)


@faults.register('sound engines fall silent')
def engines_fall_silent(site, rng):
    """Engines send nothing for a while and go on.

    Meanwhile their reports count copies of other generations, and none, some
    or all turn takeovers from backups away.
    """
    engines = site.live('engine')
    share = rng.choice((0.0, 0.5, 1.0))
    rejecting = [engine for engine in engines if rng.random() < share]
    for engine in engines:
        engine.other_tokens += OTHER_TOKENS
    for engine in rejecting:
        engine.rejects_takeovers += 1
    for _ in range(rng.randint(2, 4)):
        seconds = rng.uniform(*SOUND_SILENCE_SECONDS)
        for engine in rng.sample(engines, rng.randint(1, len(engines))):
            engine.silent_until = records.now() + seconds
        beside = rng.choice(BESIDE_SILENCE)
        if beside:
            gevent.spawn(faults.get(beside), site, rng)
        gevent.sleep(seconds + rng.uniform(0.2, 0.8))
    for engine in engines:
        engine.other_tokens -= OTHER_TOKENS
    for engine in rejecting:
        engine.rejects_takeovers -= 1


def _new_version(rng):
    return f'{rng.choice("abxyz")}{rng.randrange(1000)}'


@faults.register('release')
def release(site, rng):
    """Engines of another version replace some; it may go back."""
    former = site.software
    _replace_some(site, rng, _new_version(rng))
    if rng.random() < 0.4:
        gevent.sleep(rng.uniform(1.0, 3.0))
        _replace_some(site, rng, former)


def _replace_some(site, rng, version):
    site.software = version
    others = [e for e in site.live('engine') if e.version != version]
    for engine in rng.sample(others, (len(others) + 1) // 2):
        site.new_target('engine')
        gevent.sleep(rng.uniform(0.1, 0.4))
        lingers = rng.choice((0.3, 4.0))
        site.leave(engine, is_listed=True, lingers=lingers)


@faults.register('callers lose connections')
def lose_connections(site, rng):
    """Callers take their streams up at other gateways."""
    site.losing += 1
    gevent.sleep(rng.uniform(3.0, 6.0))
    site.losing -= 1


@faults.register('engine starts again with another version')
def starts_again(site, rng):
    target = _pick_target(site, rng, 'engine')
    if target is None:
        return
    site.end(target)
    gevent.sleep(rng.uniform(0.3, 1.5))
    site.software = _new_version(rng)
    site.new_target('engine', name=target.id)


@faults.register('engines change their version in place')
def changes_in_place(site, rng):
    """Some engines load other software; the others fall silent then."""
    engines = site.live('engine')
    changing = rng.sample(engines, len(engines) // 2)
    version = _new_version(rng)
    for engine in changing:
        site.ledger.renamed_ids.add(engine.id)
        site.ledger.end_service(engine.id)
        site.store.put(f'servers/{engine.id}', engine.entry(version=version))
    gevent.sleep(RENAMED_SECONDS)
    for engine in changing:
        engine.version = version
    until = records.now() + rng.uniform(*SOUND_SILENCE_SECONDS)
    for engine in engines:
        if engine not in changing:
            engine.silent_until = until


@faults.register('target asks for silence')
def target_asks(site, rng):
    """A target turns requests away and asks to be left alone for a while."""
    target = _pick_target(site, rng, rng.choice(('plain', 'engine')))
    if target is not None:
        _ask_for_silence(site, rng, [target])


@faults.register('service asks for silence')
def service_asks(site, rng):
    """All targets of a service ask to be left alone."""
    _ask_for_silence(site, rng, site.live(rng.choice(('plain', 'engine'))))


def _ask_for_silence(site, rng, targets):
    for target in targets:
        site.ledger.add_trouble('bad answers', target.id, SILENCE_SECONDS)
        target.refusal_signs = {'Retry-After': f'{rng.uniform(1.5, 3.0):.2f}'}
        target.faults += ['shed'] * REFUSALS
    gevent.sleep(SILENCE_SECONDS)
    for target in targets:
        target.refusal_signs = {}
        target.faults[:] = [f for f in target.faults if f != 'shed']

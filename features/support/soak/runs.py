"""One seeded run of the soak, and its verdict."""

import collections
import contextlib
import dataclasses
import pathlib
import random
import shutil

import gevent

from features.support.soak import checks
from features.support.soak import faults
from features.support.soak import gateways
from features.support.soak import load
from features.support.soak import records
from features.support.soak import regressions
from features.support.soak import world

FAULT_TASK_SECONDS = 40.0
# After the last fault everything is sound again within this time.
RECOVERY_SECONDS = 12.0
FINAL_REQUESTS = 3
CHECK_SECONDS = 3.0
MAX_SHOWN = 5
OCCASION_TICK_SECONDS = 0.5
MAX_OCCASION_SECONDS = 60.0


@dataclasses.dataclass(frozen=True)
class Size:
    """How large a run is; ``seconds`` is how long faults strike.

    ``leaving_part`` is the share of requests that their callers leave.
    """

    seconds: float = 16.0
    gateways: int = 4
    engines: int = 5
    callers: int = 12
    faults: int = 8
    leaving_part: float = 0.05


@dataclasses.dataclass
class Verdict:
    """What a run found."""

    seed: int
    schedule: list
    trials: collections.Counter
    violations: dict
    served: collections.Counter


def schedule(seed, size):
    """Return the faults of a seed as (second, name, seed) in order.

    A new fault changes what is drawn, so the plans of seeds that failed are
    kept in :mod:`regressions`.
    """
    rng = random.Random(seed)
    names = list(faults.faults)
    return sorted(
        (
            round(rng.uniform(0.5, size.seconds), 2),
            rng.choice(names),
            rng.getrandbits(32),
        )
        for _ in range(size.faults)
    )


def run(seed, size, *, program=None, plan=None, keep=None, occasion=None):
    """Play a seed.

    :param program: other arguments of the gateways' interpreter.
    :param plan: the schedule, if not the seed's own.
    :param keep: a folder for the logs of a run with violations.
    :param occasion: tells by the site whether the run may end; a run without
        goes on for at most a minute more.
    """
    if plan is None:
        plan = regressions.plans_by_seed.get(seed) or schedule(seed, size)
    with contextlib.ExitStack() as stack:
        site = world.World(
            stack,
            gateway_count=size.gateways,
            engine_count=size.engines,
            program=program,
        )
        site.run_gateways()
        found = _play(site, seed, size, plan, occasion)
        if found.violations and keep:
            keep_logs(site, seed, keep)
    return found


def _play(site, seed, size, plan, occasion=None):
    callers = load.Callers(site, random.Random(seed), size.leaving_part)
    tasks = callers.start(size.callers)
    striking = [
        gevent.spawn_later(at, _strike, site, name, random.Random(own))
        for at, name, own in plan
    ]
    watcher = gevent.spawn(_watch, site)
    gevent.joinall(striking, timeout=size.seconds + FAULT_TASK_SECONDS)
    gevent.sleep(max(0.0, site.ledger.began_at + size.seconds - records.now()))
    if occasion is not None:
        _await_occasion(site, occasion)
    watcher.kill()
    return finish(site, callers, tasks, seed, plan, striking)


def _await_occasion(site, occasion):
    end = records.now() + MAX_OCCASION_SECONDS
    # A delay of the soak is noted only after it.
    times_seen = 0
    while times_seen < 2 and records.now() < end:
        gevent.sleep(OCCASION_TICK_SECONDS)
        times_seen = times_seen + 1 if occasion(site) else 0


def finish(site, callers, tasks, seed, plan, striking):
    """End the load, look at the recovery, and check all promises."""
    site.is_over = True
    gevent.joinall(tasks, timeout=world.STREAM_TIMEOUT_SECONDS + 3)
    gevent.killall(tasks)
    for target in site.targets.values():
        # Bad answers that nobody has asked for yet.
        target.faults.clear()
    final = _recover(site, callers)
    trials, violations = check(site)
    for task in (*striking, *tasks):
        if task.exception is not None:
            violations['the soak itself'] = [repr(task.exception)]
    trials['recovery'] = len(site.gateways)
    if final:
        violations['recovery'] = final
    served = collections.Counter(
        f'{a.route} {a.status if not a.left_at else "left"}'
        for a in site.ledger.attempts_by_id.values()
    )
    return Verdict(seed, plan, trials, violations, served)


def _strike(site, name, rng):
    faults.faults.get(name)(site, rng)


def _watch(site):
    """Look for broken promises while the run goes on."""
    while True:
        gevent.sleep(CHECK_SECONDS)
        for name in ('at most once', 'not run is true', 'keys'):
            for holds, text in checks.checks.get(name)(site):
                if not holds:
                    site.ledger.early_violations.add(f'{name}: {text}')


def _recover(site, callers):
    """Return what does not serve after all faults are over."""
    end = records.now() + RECOVERY_SECONDS
    missing = {}
    while records.now() < end:
        missing = {
            gateway.name: text
            for gateway in site.gateways
            if (text := _unserved(site, callers, gateway))
        }
        if not missing:
            return []
        gevent.sleep(0.3)
    return [f'{name}: {text}' for name, text in missing.items()]


def _unserved(site, callers, gateway):
    """Return why a gateway does not serve as it should, or ''."""
    version = gateway.state().get('version')
    if version != site.version:
        return f'version {version} and not {site.version}'
    for route in ('once', 'stream'):
        with site.connection((gateway.ip, gateways.CALLERS_PORT)) as line:
            try:
                line.connect()
            except OSError as error:
                return f'no connection: {error}'
            attempt = callers.attempt(line, gateway, route=route)
            is_left = attempt.left_at or attempt.status == 401
            if not is_left and not (
                attempt.status == 200 and attempt.is_whole
            ):
                return f'{route} got {attempt.status}'
    return ''


def check(site):
    """Return the counts of trials and the violations by promise."""
    trials, violations = collections.Counter(), {}
    for name in checks.checks:
        for holds, text in checks.checks.get(name)(site):
            trials[name] += 1
            if not holds:
                violations.setdefault(name, []).append(text)
    if site.ledger.early_violations:
        violations['while it ran'] = sorted(site.ledger.early_violations)
    return trials, violations


def keep_logs(site, seed, keep):
    """Copy the logs of a run's gateways to a folder."""
    folder = pathlib.Path(keep, f'seed-{seed}')
    folder.mkdir(parents=True, exist_ok=True)
    for gateway in site.gateways:
        gateway.log.flush()
        shutil.copy(gateway.folder / f'{gateway.name}.log', folder)
    lines = [f'{t}\n' for t in sorted(site.ledger.troubles, key=str)]
    (folder / 'troubles.txt').write_text(''.join(lines))

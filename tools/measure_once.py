"""Measure how often an action's outcome stays unknown under faults.

``python tools/measure_once.py [SECONDS]`` loads three real entries under
each fault, by permits and by callers' own keys, and prints a table.
"""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

import gevent  # noqa: E402
import tabulate  # noqa: E402
import urllib3  # noqa: E402

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from features.support import actions  # noqa: E402
from features.support import fleet  # noqa: E402

DEFAULT_SECONDS = 12.0
FAULT_PERIOD_SECONDS = 4.0
PAUSE_SECONDS = 1.0
CALLERS = 4
TRIES = 4
RETRY_SECONDS = 0.5
THINK_SECONDS = 0.1
SETTLE_SECONDS = 6.0
SEED = 1
LOOK_SECONDS = 0.1


def none(world: actions.Actions) -> None:
    """Cause nothing."""


def kill(world: actions.Actions) -> None:
    """Kill an entry and start it again at its address."""
    world.fleet.entries[1].kill()
    world.restart(1)


def stop(world: actions.Actions) -> None:
    """Stop an entry gracefully and start it again at its address."""
    world.fleet.entries[1].kill(signal.SIGTERM)
    world.fleet.entries[1].popen.wait()
    world.restart(1)


def pause(world: actions.Actions) -> None:
    """Pause an entry for a while."""
    world.fleet.entries[1].kill(signal.SIGSTOP)
    gevent.sleep(PAUSE_SECONDS)
    world.fleet.entries[1].kill(signal.SIGCONT)


def cut(world: actions.Actions) -> None:
    """Cut the way to an entry from its peers for a while."""
    world.relay.there.silence()
    gevent.sleep(PAUSE_SECONDS)
    world.relay.there.heal()


FAULTS = (none, kill, stop, pause, cut)


class Load:
    """Callers that retry an action with its key while it is unknown."""

    def __init__(
        self, world: actions.Actions, use_permits: bool, end: float
    ) -> None:
        self.world = world
        self.use_permits = use_permits
        self.end = end
        self.firsts: collections.Counter[str] = collections.Counter()
        self.lasts: list[tuple[dict[str, int], str]] = []
        self.rng = random.Random(SEED)
        self.usable = list(world.fleet.entries)

    def run(self) -> None:
        """Send actions until the end."""
        while time.monotonic() < self.end:
            key = self._key()
            if not key:
                continue
            body = self.world.body()
            outcome = first = self._act(key, body)
            for _ in range(TRIES - 1):
                if outcome != 'unknown':
                    break
                gevent.sleep(RETRY_SECONDS)
                outcome = self._act(key, body)
            self.firsts[first] += 1
            self.lasts.append((body, outcome))
            gevent.sleep(THINK_SECONDS)

    def _key(self) -> str:
        if not self.use_permits:
            return f't={time.time():.3f};{self.rng.random()}'
        try:
            return self.world.permits(self._entry())[0]
        except (urllib3.exceptions.HTTPError, AssertionError):
            gevent.sleep(THINK_SECONDS)
            return ''

    def _act(self, key: str, body: dict[str, int]) -> str:
        try:
            response = self.world.act(self._entry(), key, body)
            return actions.outcome(response)
        except (urllib3.exceptions.HTTPError, KeyError):
            # A caller without an answer knows as little.
            return 'unknown'

    def _entry(self) -> typing.Any:
        return self.rng.choice(self.usable)

    def look(self) -> None:
        """Keep to the entries that say they are ready, as a balancer."""
        while time.monotonic() < self.end:
            entries = list(self.world.fleet.entries)
            self.usable = [e for e in entries if _ready(e)] or entries
            gevent.sleep(LOOK_SECONDS)


def _ready(entry: typing.Any) -> bool:
    try:
        return entry.popen.poll() is None and fleet.ready(entry)
    except urllib3.exceptions.HTTPError:
        return False


def measure(
    fault: typing.Callable[[actions.Actions], None],
    use_permits: bool,
    seconds: float,
) -> list[typing.Any]:
    """Return one row of the table."""
    world = actions.Actions()
    try:
        gevent.sleep(SETTLE_SECONDS)
        end = time.monotonic() + seconds
        load = Load(world, use_permits, end)
        tasks = [gevent.spawn(load.run) for _ in range(CALLERS)]
        tasks.append(gevent.spawn(load.look))
        while time.monotonic() < end:
            gevent.sleep(FAULT_PERIOD_SECONDS / 2)
            fault(world)
            gevent.sleep(FAULT_PERIOD_SECONDS / 2)
        gevent.joinall(tasks)
        runs = collections.Counter(e['body'] for e in world.plain.executions())
        lasts = collections.Counter(o for _, o in load.lasts)
        untrue = sum(
            world.runs(body) > 0 for body, o in load.lasts if o == 'not_run'
        )
    finally:
        world.close()
    total = max(1, len(load.lasts))
    return [
        fault.__name__,
        'permit' if use_permits else 'own key',
        total,
        f'{load.firsts["unknown"] / total:.1%}',
        f'{lasts["unknown"] / total:.1%}',
        lasts['not_run'],
        sum(count > 1 for count in runs.values()),
        untrue,
    ]


def main() -> None:
    """Print the table."""
    seconds = float(sys.argv[1]) if sys.argv[1:] else DEFAULT_SECONDS
    rows = [
        measure(fault, use_permits, seconds)
        for fault in FAULTS
        for use_permits in (True, False)
    ]
    headers = ['fault', 'key', 'actions', 'first unknown', 'last unknown']
    headers += ['not run', 'ran twice', 'untrue']
    print(tabulate.tabulate(rows, headers, tablefmt='github'))


if __name__ == '__main__':
    main()

"""Stops gateways in turn under load and judges what was lost.

``python -m features.support.soak.rolling_stops --seeds 1-10 --load heavy``
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import contextlib  # noqa: E402
import dataclasses  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import gevent  # noqa: E402

from features.support.soak import lost  # noqa: E402
from features.support.soak import records  # noqa: E402
from features.support.soak import runs  # noqa: E402
from features.support.soak import stop_load  # noqa: E402
from features.support.soak import stop_occasions  # noqa: E402
from features.support.soak import stop_site  # noqa: E402

FIRST_STOP_SECONDS = 2.0
APART_SECONDS = 1.0
# The numbers of callers and engines, and how often callers are idle.
LOADS = {'light': (32, 4, 0.6), 'heavy': (200, 8, 0.6), 'busy': (300, 10, 0.2)}


@dataclasses.dataclass(frozen=True)
class Play:
    """What is played; no round of stops begins after ``seconds``.

    A planted fault that shows in few requests is played again, for at most a
    minute more, until enough of them came.
    ``graces`` is a list in seconds, ``planted`` a fault of the program,
    ``code`` the folder of another checkout, ``keep`` one for logs of losses.
    """

    load: str = 'light'
    seconds: float = 16.0
    gateways: int = 3
    graces: str = '4,8,12'
    planted: str = ''
    code: str = ''
    keep: str = ''


def run(seed, play):
    """Play a seed; return the cuts and the number of requests."""
    count, engines, idle_part = LOADS[play.load]
    with contextlib.ExitStack() as stack:
        site = stop_site.Site(stack, random.Random(seed), engines, play)
        site.run_gateways()
        callers = stop_load.Callers(site, random.Random(seed), idle_part)
        rolling = Rolling(site, random.Random(seed))
        end = records.now() + play.seconds + runs.MAX_OCCASION_SECONDS
        is_met = False
        while not is_met and records.now() < end:
            # After a stop most callers stay at the gateways that go on, so
            # they begin anew.
            tasks = callers.start(count)
            stops = rolling.run(play.seconds)
            gevent.killall(tasks)
            # A caller that has failed sends nothing more.
            gevent.joinall(tasks, raise_error=True)
            is_met = stop_occasions.is_met(play.planted, site.ledger, stops)
        site.is_over = True
        cuts = lost.judge(site.ledger, stops)
        if play.keep and any(cut.why == lost.LOST for cut in cuts):
            runs.keep_logs(site, f'{seed}-{play.load}', play.keep)
        return cuts, len(site.ledger.attempts_by_id)


class Rolling:
    """Stops all gateways but the last one, round after round."""

    def __init__(self, site, rng):
        self._site = site
        self._rng = rng
        self._stops = []

    def run(self, seconds):
        """Return all stops; no round begins after so many seconds."""
        gevent.sleep(FIRST_STOP_SECONDS)
        beside = gevent.spawn(self._site.disturb)
        end = records.now() + seconds
        while records.now() < end:
            is_overlapping, tasks = self._rng.random() < 0.5, []
            for gateway in self._site.gateways[:-1]:
                tasks.append(gevent.spawn(self._stop_and_start, gateway))
                tasks[-1].join(APART_SECONDS if is_overlapping else None)
            gevent.joinall(tasks, raise_error=True)
        beside.kill()
        beside.get()
        return self._stops

    def _stop_and_start(self, gateway):
        self._stop(gateway)
        if self._rng.random() < 0.3:
            # Soon after a start, perhaps before it listens.
            if self._rng.random() < 0.7:
                gateway.wait_ready()
            gevent.sleep(self._rng.uniform(0.1, 2.5))
            self._stop(gateway)
        gateway.wait_ready()

    def _stop(self, gateway):
        """Stop a gateway and start it again, perhaps with another grace."""
        rng, process = self._rng, gateway.popen
        grace = gateway.bounds['grace_s']
        stop = lost.Stop(gateway.name, process.pid, records.now(), grace)
        self._stops.append(stop)
        for number, part in ((signal.SIGTERM, 0.3), (signal.SIGHUP, 0.5)):
            if rng.random() < part:
                later = rng.uniform(0, grace / 2)
                gevent.spawn_later(later, process.send_signal, number)
        gateway.stop(grace)
        self._site.draw_grace(gateway)
        gateway.restart()


def _seeds(text):
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def main():
    """Play the seeds and print what was cut; return 1 if any is lost."""
    # What was started ends with the runs, also when they are told to stop.
    gevent.signal_handler(signal.SIGTERM, sys.exit, 143)
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=_seeds, default='1', help='7 or 1-9')
    for field in dataclasses.fields(Play):
        parser.add_argument(
            f'--{field.name}', type=field.type, default=field.default
        )
    options = vars(parser.parse_args())
    counts, requests = collections.Counter(), 0
    for seed in options.pop('seeds'):
        cuts, count = run(seed, Play(**options))
        requests += count
        counts.update(cut.why for cut in cuts)
        for cut in cuts:
            print(f'seed {seed} {cut}')
        print(
            f'seed {seed}: {count} requests, cut so far {dict(counts)}',
            flush=True,
        )
    print(f'{requests} requests, {counts[lost.LOST]} lost')
    return 1 if counts[lost.LOST] else 0


if __name__ == '__main__':
    sys.exit(main())

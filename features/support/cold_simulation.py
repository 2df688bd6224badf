"""Replays many gateways that send to a cold target, without a network."""

import bisect
import random

from kingcupfront_decisions import cold_targets

STEP_SECONDS = 0.02
OVERRUN = 1.5
SLACK = 5.0
CONTACT_SECONDS = 0.3
# A gateway that has started knows a part of the others and then all.
FULL_VIEW_SECONDS = 4.0
MISSED_FRACTION = 1 / 3


class Gateway:
    """One gateway with a clock and a view of the others of its own."""

    def __init__(self, name, rng):
        self.name = name
        self._rng = rng
        self._clock_offset = rng.uniform(0, 1e6)
        self.missed = set()
        self.start(-100.0)

    def start(self, now):
        self.started_at = now
        self._decisions = cold_targets.ColdTargets(
            self.name, now + self._clock_offset
        )

    def miss_a_third(self, names):
        others = [name for name in names if name != self.name]
        count = int(len(others) * MISSED_FRACTION)
        self.missed = set(self._rng.sample(others, count))

    def look(self, names, now):
        """Learn of the gateways that are known now."""
        if now - self.started_at > CONTACT_SECONDS:
            self._decisions.record_contact()
        self._decisions.record_gateways(
            [name for name in names if name not in self.missed],
            now + self._clock_offset,
        )

    def send(self, target, bound, now):
        return self._decisions.acquire(target, bound, now + self._clock_offset)


class Replay:
    """A data centre of gateways, all with requests for the same targets.

    :param count: the gateways.
    :param rate: requests in a second that a cold target can handle.
    """

    def __init__(self, count, rate, seed, target_count=1):
        self.rng = random.Random(f'{count} {rate} {seed}')
        self.bound = cold_targets.Bound(rate, OVERRUN, SLACK)
        self.names = [f'10.0.0.{n}:8748' for n in range(count)]
        self.gateways = [Gateway(name, self.rng) for name in self.names]
        targets = [f's{self.rng.random()}' for _ in range(target_count)]
        self.sent_at_by_target = {target: [] for target in targets}

    def run(self, kind, seconds=12.0):
        """Let all gateways send as much as they may.

        :param kind: what happens meanwhile.
        """
        if kind in ('views miss a third', 'bursts and missed views'):
            for gateway in self.gateways:
                gateway.miss_a_third(self.names)
        if kind == 'all gateways start':
            for gateway in self.gateways:
                gateway.start(0.0)
                gateway.miss_a_third(self.names)
        for step in range(int(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            if kind == 'restarts':
                self._restart_some(now)
            self._update_views(now, kind, step)
            if kind.startswith('bursts') and now % 1.7 > 0.2:
                continue
            self._send_all(now)

    def _restart_some(self, now):
        if self.rng.random() < STEP_SECONDS * 2:
            gateway = self.rng.choice(self.gateways)
            gateway.start(now)
            gateway.miss_a_third(self.names)

    def _update_views(self, now, kind, step):
        for gateway in self.gateways:
            age = now - gateway.started_at
            has_started = kind in ('restarts', 'all gateways start')
            if has_started and age > FULL_VIEW_SECONDS:
                gateway.missed = set()
            if step % 10 == 0:
                gateway.look(self.names, now)

    def _send_all(self, now):
        for gateway in self.rng.sample(self.gateways, len(self.gateways)):
            for target, sent_at in self.sent_at_by_target.items():
                while gateway.send(target, self.bound, now):
                    sent_at.append(now)

    def most_in_a_second(self):
        """Return the most requests that one target got in any second."""
        return max(
            bisect.bisect_right(sent_at, start + 1.0) - number
            for sent_at in self.sent_at_by_target.values()
            for number, start in enumerate(sent_at or [0.0])
        )

    def fraction_used(self, seconds=12.0):
        """Return which part of the targets' rate was used, the least one."""
        return min(
            len(sent_at) / (seconds * self.bound.per_second)
            for sent_at in self.sent_at_by_target.values()
        )

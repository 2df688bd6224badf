"""Prompts with many parts crash server after server."""

import itertools
import os
import pathlib
import threading
import time

import engine
import harness

ENGINES = 9
EVENTS = 9
CRASHING_PART = 'bad0c0de'
# The parts before the crashing one, which sound requests have too.
DEPTH = int(os.environ.get('DEPTH', '16'))
BACK_SECONDS = 2.0
# Three heartbeats.
LAPSE_SECONDS = 3.6
CONTACT_SECONDS = 4.0
PLAY_SECONDS = 40.0
CRASHING_INTERVAL_SECONDS = 1.0
SOUND_INTERVAL_SECONDS = 0.25
MOST_AFTER = 3


class Site:
    """The servers, which come back after a crash as new ones."""

    def __init__(self, store: harness.Store, record: harness.Record) -> None:
        self.crashes: list[float] = []
        self.servers: list[engine.Engine] = []
        self._store = store
        self._record = record
        self._copies = engine.Copies()
        self._numbers = itertools.count(1)
        for _ in range(ENGINES):
            self.start()

    def start(self) -> None:
        """Start a server and list it."""
        server = engine.Engine(
            f'i-{next(self._numbers)}',
            self._record,
            self._copies,
            events=EVENTS,
        )
        server.crashing_part = CRASHING_PART
        server.on_crash = self._crashed
        self.servers.append(server)
        self._store.put(f'servers/{server.id}', server.entry())

    def _crashed(self, server: engine.Engine) -> None:
        self.crashes.append(time.monotonic())
        threading.Timer(BACK_SECONDS, self.start).start()
        threading.Timer(
            LAPSE_SECONDS, self._store.delete, (f'servers/{server.id}',)
        ).start()


def main(record: harness.Record, log: pathlib.Path | None) -> int:
    """Play the case."""
    store = harness.Store()
    site = Site(store, record)
    store.put(
        'op/config',
        harness.configuration(
            1,
            [harness.stream_route('batch-review')],
            [harness.engine_service()],
        ),
    )
    sent_at: dict[str, float] = {}
    threads: list[threading.Thread] = []
    with harness.running_gateway(store, log) as gateway:
        time.sleep(5.0)
        start = time.monotonic()
        next_crashing = start + 2.0
        for number in itertools.count():
            now = time.monotonic()
            if now > start + PLAY_SECONDS:
                break
            shared = [f'5c1e{depth:04x}' for depth in range(DEPTH)]
            attempt = f'g{number:04x}'
            if now >= next_crashing:
                next_crashing += CRASHING_INTERVAL_SECONDS
                if harness.is_troubled():
                    attempt = f'x{number:04x}'
                    shared.append(CRASHING_PART)
                    sent_at[attempt] = now
            parts = [f'{part}:100' for part in shared]
            threads.append(
                threading.Thread(
                    target=_ask,
                    args=(gateway, record, attempt, parts),
                    daemon=True,
                )
            )
            threads[-1].start()
            time.sleep(SOUND_INTERVAL_SECONDS)
        for thread in threads:
            thread.join(10)
    return _judge(record, site, sent_at)


def _ask(
    gateway: harness.Gateway,
    record: harness.Record,
    attempt: str,
    parts: list[str],
) -> None:
    prompt = ','.join([*parts, f'e440{attempt}:250'])
    client = harness.Client(gateway.front)
    client.send(
        '/batch-review/2f',
        attempt,
        39000,
        Kingcupfront_Model='m',
        Kingcupfront_Token_Usage=f'{100 * len(parts) + 250},36',
        Kingcupfront_Prefix_Hash=prompt,
    )
    answer = client.read()
    is_lost = answer.status in (0, 200, 502) and not (
        answer.status == 200 and answer.is_complete
    )
    record(
        f'client got {answer.status} to {attempt}, '
        + ('complete' if answer.is_complete else 'broken off')
        + (', SOUND AND LOST' if is_lost and attempt[0] == 'g' else '')
    )


def _judge(
    record: harness.Record, site: Site, sent_at: dict[str, float]
) -> int:
    """BUDGET, as the news page puts it."""
    lost = record.text().count('SOUND AND LOST')
    record(f'{len(site.crashes)} crashes; {lost} sound requests lost by them')
    if len(site.crashes) < 5:
        return harness.HELD
    since = site.crashes[4] + CONTACT_SECONDS
    reached = [
        run.attempt
        for server in site.servers
        for run in server.runs
        if sent_at.get(run.attempt, 0.0) > since
    ]
    asked = sum(at > since for at in sent_at.values())
    record(
        f'of {asked} requests with the part that were sent over 4 s after '
        f'the fifth crash, {len(reached)} reached servers; {MOST_AFTER} may'
    )
    return harness.BROKEN if len(reached) > MOST_AFTER else harness.HELD


harness.play(pathlib.Path(__file__).with_name('record.txt'), main)

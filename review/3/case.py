"""A configuration without a service cuts the streams that run there."""

import pathlib
import threading
import time

import engine
import harness

EVENTS = 100
GAP_SECONDS = 0.05
STREAMS = 12
CHANGE_AFTER_SECONDS = 2.0
# config_apply_ms and 1 s after the acknowledgement.
BESIDE_SECONDS = 3.5


def main(record: harness.Record, log: pathlib.Path | None) -> int:
    """Play the case."""
    store, copies = harness.Store(), engine.Copies()
    for number in range(1, 7):
        service = 'asistente' if number <= 3 else 'asistente-b'
        server = engine.Engine(
            f'i-{number}',
            record,
            copies,
            events=EVENTS,
            gap_seconds=GAP_SECONDS,
        )
        store.put(f'servers/{server.id}', server.entry(service=service))
    store.put('op/config', _configuration(1, 'asistente'))
    with harness.running_gateway(store, log) as gateway:
        time.sleep(5.0)
        record('streams while nothing changes')
        before = _ask_all(gateway, record, 'c', [])
        record('streams while the configuration changes')
        changed_at: list[float] = []
        change = threading.Timer(
            CHANGE_AFTER_SECONDS, _change, args=(store, record, changed_at)
        )
        during = _ask_all(gateway, record, 'd', [change])
        record('streams after the change')
        after = _ask_all(gateway, record, 'e', [])
    return _judge(record, before + during + after, changed_at)


def _judge(
    record: harness.Record, cuts: list[float], changed_at: list[float]
) -> int:
    """LOST, beside a configuration.

    Cuts beside it count if they come over three times as often as others;
    as many streams run in each of the three rounds.
    """
    beside = [
        cut
        for cut in cuts
        if changed_at
        and changed_at[0] <= cut <= changed_at[1] + BESIDE_SECONDS
    ]
    others = len(cuts) - len(beside)
    record(f'cut beside the change: {len(beside)}, at other times: {others}')
    is_broken = len(beside) > 3 * others and bool(beside)
    return harness.BROKEN if is_broken else harness.HELD


def _configuration(version: int, service: str) -> dict[str, object]:
    return harness.configuration(
        version,
        [
            harness.stream_route('batch-review', service=service),
            harness.plain_route('lot-status'),
        ],
        [harness.engine_service(service), harness.plain_service()],
    )


def _change(
    store: harness.Store, record: harness.Record, changed_at: list[float]
) -> None:
    if not harness.is_troubled():
        return
    changed_at.append(time.monotonic())
    store.put('op/config', _configuration(2, 'asistente-b'))
    record(
        'acknowledged: version 2, whose route goes to asistente-b and whose '
        'services no longer hold asistente'
    )
    changed_at.append(time.monotonic())


def _ask_all(
    gateway: harness.Gateway,
    record: harness.Record,
    prefix: str,
    others: list[threading.Thread],
) -> list[float]:
    """Send streams at the same time; return when streams were cut."""
    cuts: list[float] = []
    threads = [
        threading.Thread(
            target=_ask, args=(gateway, record, f'{prefix}{number}', cuts)
        )
        for number in range(STREAMS)
    ]
    for thread in threads + others:
        thread.start()
        time.sleep(0.02)
    for thread in threads + others:
        thread.join()
    return cuts


def _ask(
    gateway: harness.Gateway,
    record: harness.Record,
    attempt: str,
    cuts: list[float],
) -> None:
    client = harness.Client(gateway.front)
    client.send(
        '/batch-review/2f',
        attempt,
        39000,
        Kingcupfront_Model='m',
        Kingcupfront_Token_Usage=f'1000,{EVENTS * engine.TOKENS_PER_EVENT}',
    )
    answer = client.read()
    whole = list(range(1, EVENTS + 1))
    is_whole = answer.is_complete and answer.event_ids == whole
    # A refusal of the gateway is no cut.
    if answer.status in (0, 200) and not is_whole:
        cuts.append(time.monotonic())
    record(
        f'client got {answer.status} to {attempt}, '
        f'{len(answer.event_ids)} of {EVENTS} events, '
        + ('complete' if answer.is_complete else 'broken off')
    )


harness.play(pathlib.Path(__file__).with_name('record.txt'), main)

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
        change = threading.Timer(
            CHANGE_AFTER_SECONDS, _change, args=(store, record)
        )
        during = _ask_all(gateway, record, 'd', [change])
        record('streams after the change')
        after = _ask_all(gateway, record, 'e', [])
    # LOST, beside a configuration: cuts, over three times as often as at
    # other times.
    record(f'cut: {before} before, {during} beside the change, {after} after')
    is_broken = during > 3 * max(before, after) and during > 0
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


def _change(store: harness.Store, record: harness.Record) -> None:
    if not harness.is_troubled():
        return
    store.put('op/config', _configuration(2, 'asistente-b'))
    record(
        'acknowledged: version 2, whose route goes to asistente-b and whose '
        'services no longer hold asistente'
    )


def _ask_all(
    gateway: harness.Gateway,
    record: harness.Record,
    prefix: str,
    others: list[threading.Thread],
) -> int:
    """Send streams at the same time; return how many were cut."""
    answers: list[harness.Answer] = []
    threads = [
        threading.Thread(
            target=_ask, args=(gateway, record, f'{prefix}{number}', answers)
        )
        for number in range(STREAMS)
    ]
    for thread in threads + others:
        thread.start()
        time.sleep(0.02)
    for thread in threads + others:
        thread.join()
    whole = list(range(1, EVENTS + 1))
    return sum(
        answer.status in (0, 200)
        and not (answer.is_complete and answer.event_ids == whole)
        for answer in answers
    )


def _ask(
    gateway: harness.Gateway,
    record: harness.Record,
    attempt: str,
    answers: list[harness.Answer],
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
    answers.append(answer)
    record(
        f'client got {answer.status} to {attempt}, '
        f'{len(answer.event_ids)} of {EVENTS} events, '
        + ('complete' if answer.is_complete else 'broken off')
    )


harness.play(pathlib.Path(__file__).parent, main)

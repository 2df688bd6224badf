"""A stream that a move has stopped is passed on as complete."""

import pathlib
import threading
import time

import engine
import harness

ENGINES = 9
EVENTS = 120
GAP_SECONDS = 0.05
STREAMS = 12
DRAIN_AFTER_SECONDS = 0.2


def main(record: harness.Record, log: pathlib.Path | None) -> int:
    """Play the case."""
    store, copies = harness.Store(), engine.Copies()
    # Streams end with their connection, as the news page allows.
    engines = [
        engine.Engine(
            f'i-{number}',
            record,
            copies,
            events=EVENTS,
            gap_seconds=GAP_SECONDS,
            is_framed=False,
        )
        for number in range(1, ENGINES + 1)
    ]
    for server in engines:
        store.put(f'servers/{server.id}', server.entry())
    store.put(
        'op/config',
        harness.configuration(
            1,
            [harness.stream_route('batch-review')],
            [harness.engine_service()],
        ),
    )
    with harness.running_gateway(store, log) as gateway:
        # The gateway's contact with the store has been steady for a while.
        time.sleep(5.0)
        answers = {}
        threads = [
            threading.Thread(
                target=_ask, args=(gateway, record, answers, f'a{number:04x}')
            )
            for number in range(STREAMS)
        ]
        for thread in threads:
            thread.start()
            time.sleep(0.03)
        time.sleep(DRAIN_AFTER_SECONDS)
        busiest = max(engines, key=lambda e: len(e.active))
        if harness.is_troubled():
            record(f'{busiest.id} reports draining to the store')
            store.put(f'servers/{busiest.id}', busiest.entry(state='draining'))
        for thread in threads:
            thread.join()
    return _judge(record, answers)


def _ask(
    gateway: harness.Gateway,
    record: harness.Record,
    answers: dict[str, harness.Answer],
    attempt: str,
) -> None:
    client = harness.Client(gateway.front)
    client.send(
        '/batch-review/2f',
        attempt,
        39000,
        Kingcupfront_Model='m',
        Kingcupfront_Token_Usage=f'3000,{EVENTS * engine.TOKENS_PER_EVENT}',
    )
    record(f'client sends {attempt}')
    answers[attempt] = answer = client.read()
    record(
        f'client got {answer.status} to {attempt}, '
        f'{len(answer.event_ids)} of {EVENTS} events, '
        + ('complete' if answer.is_complete else 'broken off')
    )


def _judge(record: harness.Record, answers: dict[str, harness.Answer]) -> int:
    """ORDER: a stream ends as complete before its last piece."""
    whole = list(range(1, EVENTS + 1))
    short = [
        attempt
        for attempt, answer in answers.items()
        if answer.status == 200
        and answer.is_complete
        and answer.event_ids != whole
    ]
    served = sum(answer.event_ids == whole for answer in answers.values())
    record(f'{served} of {STREAMS} streams came whole')
    record(f'ended as complete before their last piece: {short}')
    return harness.BROKEN if short else harness.HELD


harness.play(pathlib.Path(__file__).with_name('record.txt'), main)

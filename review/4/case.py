"""A gateway that stops accepts requests that it then cuts off."""

import pathlib
import subprocess
import threading
import time

import engine
import harness

GRACE_SECONDS = 8.0
LONG_EVENTS = 233
GAP_SECONDS = 0.045
QUERIES = 8
QUERY_EVENTS = 9
QUERY_DEADLINE_MS = 6000
# After the SIGTERM; requests sent within 3 s of it may be excused.
FIRST_QUERY_SECONDS = 5.2
QUERY_INTERVAL_SECONDS = 0.08
# The time to the first event of a query on servers under load; its deadline
# is 6 s.
QUERY_PREFILL_SECONDS = 2.6


def main(record: harness.Record, log: pathlib.Path | None) -> int:
    """Play the case."""
    store, copies = harness.Store(), engine.Copies()
    for number in (1, 2, 3):
        server = engine.Engine(
            f'i-{number}',
            record,
            copies,
            events=_events,
            gap_seconds=GAP_SECONDS,
            prefill_seconds=_prefill_seconds,
        )
        store.put(f'servers/{server.id}', server.entry())
    store.put('op/config', _configuration())
    with harness.running_gateway(store, log) as gateway:
        time.sleep(5.0)
        # Clients keep connections open for many requests.
        kept = [harness.Client(gateway.front) for _ in range(QUERIES)]
        first: dict[str, harness.Answer] = {}
        _together(
            _query(client, record, f'f{number}', first)
            for number, client in enumerate(kept)
        )
        if not all(answer.is_complete for answer in first.values()):
            raise harness.CannotRunError('the first queries failed')
        _stream(gateway, record)
        time.sleep(1.0)
        if harness.is_troubled():
            record('SIGTERM to the gateway')
            gateway.terminate()
            threading.Thread(
                target=_kill_after_grace, args=(gateway, record), daemon=True
            ).start()
        time.sleep(FIRST_QUERY_SECONDS)
        answers: dict[str, harness.Answer] = {}
        _together(
            _query(client, record, f's{number}', answers)
            for number, client in enumerate(kept)
        )
    return _judge(record, answers)


def _configuration() -> dict[str, object]:
    query = harness.stream_route(
        'quality-query',
        timeout_ms=QUERY_DEADLINE_MS,
        target_latency_ms=1500,
        priority=0,
        max_attempts=2,
        stream_resume=True,
    )
    return harness.configuration(
        1,
        [harness.stream_route('batch-review'), query],
        [harness.engine_service()],
    )


def _is_query(fields: dict[str, str]) -> bool:
    return int(fields['kingcupfront-deadline-ms']) <= QUERY_DEADLINE_MS


def _events(fields: dict[str, str]) -> int:
    return QUERY_EVENTS if _is_query(fields) else LONG_EVENTS


def _prefill_seconds(fields: dict[str, str]) -> float:
    return QUERY_PREFILL_SECONDS if _is_query(fields) else 0.3


def _together(threads: object) -> None:
    started = []
    for thread in threads:
        thread.start()
        started.append(thread)
        time.sleep(QUERY_INTERVAL_SECONDS)
    for thread in started:
        thread.join()


def _query(
    client: harness.Client,
    record: harness.Record,
    attempt: str,
    answers: dict[str, harness.Answer],
) -> threading.Thread:
    return threading.Thread(
        target=_ask, args=(client, record, attempt, answers)
    )


def _ask(
    client: harness.Client,
    record: harness.Record,
    attempt: str,
    answers: dict[str, harness.Answer],
) -> None:
    answers[attempt] = answer = harness.Answer()
    try:
        client.send(
            '/quality-query/2f',
            attempt,
            QUERY_DEADLINE_MS,
            Kingcupfront_Model='m',
            Kingcupfront_Token_Usage=f'2200,{QUERY_EVENTS * 4}',
        )
    except OSError as error:
        record(f'client cannot send {attempt}: {error}')
        return
    record(f'client sent {attempt} on its kept connection')
    client.read(answer)
    record(
        f'client got {answer.status} to {attempt}, '
        f'{len(answer.event_ids)} of {QUERY_EVENTS} events, '
        + ('complete' if answer.is_complete else 'closed without an answer')
    )


def _stream(gateway: harness.Gateway, record: harness.Record) -> None:
    """Begin a long stream, as they run at any time."""
    client = harness.Client(gateway.front)
    client.send(
        '/batch-review/2f',
        'long',
        39000,
        Kingcupfront_Model='m',
        Kingcupfront_Token_Usage=f'3000,{LONG_EVENTS * 4}',
    )
    record('client sent a long stream')
    threading.Thread(target=client.read, daemon=True).start()


def _kill_after_grace(
    gateway: harness.Gateway, record: harness.Record
) -> None:
    start = time.monotonic()
    try:
        gateway.process.wait(GRACE_SECONDS)
        seconds = time.monotonic() - start
        record(f'the gateway ended by itself {seconds:.2f} s after SIGTERM')
    except subprocess.TimeoutExpired:
        gateway.end()
        record('SIGKILL after the grace')


def _judge(record: harness.Record, answers: dict[str, harness.Answer]) -> int:
    """LOST: read whole, passed on, and no complete answer.

    A request that the gateway refuses, or whose connection it had closed
    before, is none.
    """
    ran = record.text()
    lost = [
        attempt
        for attempt, answer in answers.items()
        if not answer.is_complete
        and answer.status in (0, 200)
        and f' runs {attempt} ' in ran
    ]
    served = sum(a.status == 200 and a.is_complete for a in answers.values())
    record(f'{served} of {QUERIES} late queries served; lost: {lost}')
    return harness.BROKEN if lost else harness.HELD


harness.play(pathlib.Path(__file__).with_name('record.txt'), main)

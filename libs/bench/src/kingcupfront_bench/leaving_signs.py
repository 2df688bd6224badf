"""The time from a sign that a target leaves to no new work anywhere."""

import contextlib
import json
import pathlib
import tempfile
import time

from kingcupfront_bench import entry_processes as processes

OBJECTS = [
    {'kind': 'model', 'name': 'assistant-model'},
    {
        'kind': 'service',
        'name': 'assistant',
        'type': 'model',
        'model': 'assistant-model',
    },
]
SETTLE_SECONDS = 3.0


def measure(count: int, trials: int, by_report: bool) -> dict[str, float]:
    """Return how long entries take to know that a target leaves.

    :param count: the number of entries, in three places.
    :param trials: how many targets leave, one after another.
    :param by_report: whether the engine's own report says so; else the list
        does.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder)
        platform, logs = processes.start(stack, path, count)
        value = {'revision': 1, 'based_on': 0, 'objects': OBJECTS}
        processes.put(
            platform,
            f'/v1/kv/{processes.KEY}',
            json.dumps(value).encode(),
        )
        engines = []
        for number in range(trials):
            log = path / f'engine-{number}.log'
            stack.enter_context(processes.process(log, 'standin', 'engine'))
            address = processes.find(log, r'listening=(\S+)').group(1)
            engines.append(address)
            _list(platform, f'engine-{number}', address, False)
        time.sleep(SETTLE_SECONDS)
        times = []
        for number, address in enumerate(engines):
            at = time.time()
            if by_report:
                processes.post(address, '/faults', b'{"leaving": true}')
            else:
                _list(platform, f'engine-{number}', address, True)
            pattern = (
                processes.TIME
                + rf'event=target_leaving.* target=engine-{number}\b'
            )
            times += [
                processes.seconds(processes.find(log, pattern).group(1)) - at
                for log in logs
            ]
    times.sort()
    return {
        'entries': count,
        'trials': trials,
        'by_report': by_report,
        'first_s': times[0],
        'p50_s': times[len(times) // 2],
        'last_s': times[-1],
    }


def _list(platform: str, name: str, address: str, leaving: bool) -> None:
    processes.register(
        platform, name, address, service='assistant', leaving=leaving
    )

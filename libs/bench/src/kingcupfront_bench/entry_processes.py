"""The time until a set is in force on real entry processes."""

from collections.abc import Iterator
import contextlib
import datetime
import json
import pathlib
import re
import subprocess
import sys
import tempfile
import time

import urllib3

from kingcupfront_bench import nodes

START_SECONDS = 30.0
POLL_SECONDS = 0.05
KEY = 'kingcupfront/objects'
TIME = r'time="?([^"\s]+ ?[^"\s]+)"? .*'
LISTENER = {'address': '127.0.0.1:0'}
HTTP = urllib3.PoolManager(retries=False)


@contextlib.contextmanager
def process(log: pathlib.Path, *arguments: str) -> Iterator[None]:
    """Run one process of the program while the block runs.

    :param log: the file for what it writes.
    :param arguments: its arguments.
    """
    with log.open('wb') as output:
        child = subprocess.Popen(
            [sys.executable, '-m', 'kingcupfront_cli', *arguments],
            stdout=output,
            stderr=output,
        )
        try:
            yield
        finally:
            child.kill()
            child.wait()


def find(log: pathlib.Path, pattern: str) -> re.Match[str]:
    """Wait until a pattern is in a log and return what it found."""
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        found = re.search(pattern, log.read_text())
        if found:
            return found
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f'{pattern!r} is not in {log}')


def put(platform: str, path: str, data: bytes) -> None:
    """Write a value to the stand-in for the platform."""
    response = HTTP.request('PUT', f'http://{platform}{path}', body=data)
    if response.status != 200:
        raise OSError(f'status {response.status}')


def post(address: str, path: str, data: bytes) -> None:
    """Tell a stand-in something."""
    HTTP.request('POST', f'http://{address}{path}', body=data)


def register(
    platform: str,
    name: str,
    address: str,
    *,
    service: str = 'kingcupfront',
    place: str = 'p0',
    leaving: bool = False,
) -> None:
    """Add or replace an instance in the platform's list."""
    host, port = address.rsplit(':', 1)
    meta = {'service': service, 'place': place}
    if leaving:
        meta['leaving'] = 'true'
    row = {
        'ID': name,
        'Service': 'kingcupfront-instances',
        'Address': host,
        'Port': int(port),
        'Meta': meta,
    }
    body = json.dumps(row).encode()
    put(platform, '/v1/agent/service/register', body)


def _settings(name: str, place: str, platform: str) -> str:
    where = {'configuration': platform, 'instances': platform}
    return json.dumps(
        {
            'instance': name,
            'place': place,
            'callers': LISTENER,
            'administration': LISTENER,
            'peers': LISTENER,
            'platform': where,
            'secrets': ['shared-secret-for-measurements'],
        }
    )


def start(
    stack: contextlib.ExitStack, folder: pathlib.Path, count: int
) -> tuple[str, list[pathlib.Path]]:
    """Start a platform and some entries.

    :returns: the address of the platform and the logs of the entries.
    """
    log = folder / 'platform.log'
    stack.enter_context(process(log, 'standin', 'platform'))
    platform = find(log, r'listening=(\S+)').group(1)
    logs = []
    for number in range(count):
        name, place = f'entry-{number}', f'p{number % 3}'
        path = folder / f'{name}.json'
        path.write_text(_settings(name, place, platform))
        logs.append(folder / f'{name}.log')
        stack.enter_context(process(logs[-1], 'entry', str(path)))
        peers = find(logs[-1], r'event=entry_started.* peers=(\S+)').group(1)
        register(platform, name, peers, place=place)
    return platform, logs


def measure(count: int, publications: int) -> dict[str, float]:
    """Return how long sets take to be in force on entry processes.

    :param count: the number of entries, in three places.
    :param publications: how many sets are published, one after another.
    """
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        platform, logs = start(stack, pathlib.Path(folder), count)
        times, lasts, data = [], [], b''
        for revision in range(1, publications + 2):
            bases = (data,) if data else ()
            data = nodes.publication(revision, *bases, objects=100)
            at = time.time()
            put(platform, f'/v1/kv/{KEY}', data)
            pattern = (
                TIME + rf'event=configuration_in_force.* revision={revision}\b'
            )
            seen = [seconds(find(log, pattern).group(1)) for log in logs]
            if revision > 1:
                times += [at_entry - at for at_entry in seen]
                lasts.append(max(seen) - at)
            time.sleep(1.0)
    times.sort()
    return {
        'entries': count,
        'publications': publications,
        'set_bytes': len(data),
        'p50_s': times[len(times) // 2],
        'p99_s': times[int(len(times) * 0.99)],
        'last_entry_worst_s': max(lasts),
    }


def seconds(text: str) -> float:
    """Return the time of a log line, in seconds since the epoch."""
    return datetime.datetime.fromisoformat(text).timestamp()

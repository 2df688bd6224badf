"""Compares a fake engine met directly and through one entry process."""

from collections.abc import Iterator
import contextlib
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time
import typing

import typer
import urllib3

KEY = 'speed-key'
ENGINES = 2
START_SECONDS = 30.0
POLL_SECONDS = 0.02
CALM_STREAMS = 500
CALM_SPEED = 15.0
CALM_TOKENS = 150
FULL_SPEED = 100.0
FULL_TOKENS = 600
IDLE_SPEED = 0.2
IDLE_TOKENS = 3
WARM_STREAMS = 20
BYTES_PER_KIB = 1024
MICROSECONDS_PER_SECOND = 1_000_000
HTTP = urllib3.PoolManager(retries=False)


class Process:
    """A process of the measurement; its output goes to a file.

    :param arguments: of the interpreter.
    """

    def __init__(self, *arguments: str) -> None:
        self._log = tempfile.NamedTemporaryFile()  # noqa: SIM115
        self.started_at = time.monotonic()
        self._popen = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            stdout=self._log,
            stderr=self._log,
        )

    def find(self, pattern: str) -> str:
        """Wait for a line of output and return its first group."""
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            text = pathlib.Path(self._log.name).read_text()
            if found := re.search(pattern, text):
                return found.group(1)
            time.sleep(POLL_SECONDS)
        raise TimeoutError(f'{pattern!r} is not in:\n{text}')

    @property
    def core_seconds(self) -> float:
        """Processor time used so far, in seconds."""
        fields = self._file('stat').rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    @property
    def resident_bytes(self) -> int:
        """Resident memory in bytes."""
        return int(self._file('statm').split()[1]) * os.sysconf('SC_PAGESIZE')

    def close(self) -> None:
        """End the process."""
        self._popen.kill()
        self._popen.wait()
        self._log.close()

    def _file(self, name: str) -> str:
        return pathlib.Path(f'/proc/{self._popen.pid}/{name}').read_text()


def _objects() -> list[dict[str, typing.Any]]:
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    return [
        {'kind': 'place', 'name': 'east', 'region': 'one'},
        {'kind': 'model', 'name': 'assistant-model'},
        {
            'kind': 'service',
            'name': 'assistant',
            'type': 'model',
            'model': 'assistant-model',
        },
        {
            'kind': 'team',
            'name': 'north',
            'key_hashes': [digest],
            'services': ['assistant'],
        },
    ]


def _put(platform: str, path: str, value: typing.Any) -> None:
    HTTP.request('PUT', f'http://{platform}{path}', body=json.dumps(value))


def _publish(platform: str, engines: list[str]) -> None:
    value = {'revision': 1, 'based_on': 0, 'objects': _objects()}
    _put(platform, '/v1/kv/kingcupfront/objects', value)
    for number, address in enumerate(engines):
        host, port = address.rsplit(':', 1)
        row = {
            'ID': f'engine-{number}',
            'Service': 'kingcupfront-instances',
            'Address': host,
            'Port': int(port),
            'Meta': {'service': 'assistant', 'place': 'east', 'slots': '9999'},
        }
        _put(platform, '/v1/agent/service/register', row)


class Bench:
    """A platform, engines and one entry, each a process.

    :param stack: ends the processes.
    """

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self._stack = stack
        pattern = r'listening=(\S+)'
        self.engines = [
            self._start('kingcupfront_bench.speed_engine').find(pattern)
            for _ in range(ENGINES)
        ]
        platform = self._start('kingcupfront_cli', 'standin', 'platform').find(
            pattern
        )
        _publish(platform, self.engines)
        self.entry = self._start(
            'kingcupfront_cli', 'entry', self._settings(platform)
        )
        self.callers = self.entry.find(r'callers=(\S+)')
        self._wait(self.entry.find(r'administration=(\S+)'))
        ready_at = time.monotonic()
        self.bare = self._start('kingcupfront_bench.speed_bare', *self.engines)
        self.bare_address = self.bare.find(pattern)
        self.ready_seconds = ready_at - self.entry.started_at

    def ask(
        self, addresses: list[str], streams: int, speed: float, tokens: int
    ) -> dict[str, typing.Any]:
        """Let callers read streams; return what they saw.

        :param speed: tokens a second of each stream.
        """
        with contextlib.closing(
            self._client(addresses, streams, speed, tokens)
        ) as client:
            return json.loads(_result(client))

    def idle_bytes(self) -> float:
        """Return the memory of one idle open stream, in bytes."""
        before = self.entry.resident_bytes
        client = self._client(
            [self.callers], CALM_STREAMS, IDLE_SPEED, IDLE_TOKENS
        )
        with contextlib.closing(client):
            time.sleep(1 / IDLE_SPEED + IDLE_TOKENS)
            grown = self.entry.resident_bytes - before
            _result(client)
        return grown / CALM_STREAMS

    def _client(
        self, addresses: list[str], streams: int, speed: float, tokens: int
    ) -> Process:
        return Process(
            'kingcupfront_bench.speed_client',
            f'--streams={streams}',
            f'--tokens={tokens}',
            f'--speed={speed}',
            f'--key={KEY}',
            *addresses,
        )

    def _start(self, *arguments: str) -> Process:
        item = Process(*arguments)
        return self._stack.enter_context(contextlib.closing(item))

    def _settings(self, platform: str) -> str:
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        where = {'address': '127.0.0.1:0'}
        path = pathlib.Path(folder, 'settings.json')
        value = {
            'instance': 'entry-1',
            'place': 'east',
            'callers': where,
            'administration': where,
            'peers': where,
            'platform': {'configuration': platform, 'instances': platform},
            'secrets': ['a-shared-secret-for-the-speed-bench'],
        }
        path.write_text(json.dumps(value))
        return str(path)

    def _wait(self, administration: str) -> None:
        url = f'http://{administration}'
        while HTTP.request('GET', f'{url}/ready').status != 200:
            time.sleep(POLL_SECONDS)
        while not json.loads(HTTP.request('GET', f'{url}/dump').data)[
            'targets'
        ]:
            time.sleep(POLL_SECONDS)


def _result(client: Process) -> str:
    end = time.monotonic() + START_SECONDS * 4
    while time.monotonic() < end:
        with contextlib.suppress(TimeoutError):
            return client.find(r'(?m)^(\{.*\})$')
    raise TimeoutError('the callers did not end')


@contextlib.contextmanager
def running() -> Iterator[Bench]:
    """Hold the processes of the measurement while the block runs."""
    with contextlib.ExitStack() as stack:
        yield Bench(stack)


def run(streams: int = CALM_STREAMS) -> dict[str, typing.Any]:
    """Measure all cases in one run.

    :param streams: open streams in the paced and the saturated case.
    """
    result: dict[str, typing.Any] = {'load_before': os.getloadavg()}
    with running() as bench:
        result['ready_seconds'] = round(bench.ready_seconds, 2)
        bench.ask([bench.callers], WARM_STREAMS, CALM_SPEED, CALM_TOKENS)
        for name, speed, tokens in (
            ('paced', CALM_SPEED, CALM_TOKENS),
            ('saturated', FULL_SPEED, FULL_TOKENS),
        ):
            direct = bench.ask(bench.engines, streams, speed, tokens)
            result[name] = {'direct': direct}
            for subject, process, address in (
                ('bare', bench.bare, bench.bare_address),
                ('entry', bench.entry, bench.callers),
            ):
                before = process.core_seconds
                seen = bench.ask([address], streams, speed, tokens)
                cores = process.core_seconds - before
                result[name][subject] = _compared(direct, seen, cores)
        kib = bench.idle_bytes() / BYTES_PER_KIB
        result['kib_an_idle_stream'] = round(kib, 1)
    return result


def _compared(
    direct: dict[str, typing.Any], seen: dict[str, typing.Any], cores: float
) -> dict[str, typing.Any]:
    added = {
        name: {
            q: round(value - direct[name][q], 3)
            for q, value in seen[name].items()
        }
        for name in ('first_ms', 'delay_ms', 'gap_ms')
    }
    return seen | {
        'added_ms': added,
        'core_microseconds_a_token': round(
            cores / seen['tokens'] * MICROSECONDS_PER_SECOND, 1
        ),
        'tokens_a_second': round(seen['tokens'] / seen['seconds']),
    }


def speed(streams: int = CALM_STREAMS) -> None:
    """Compare a fake engine directly and through one entry process."""
    typer.echo(json.dumps(run(streams), indent=2))


if __name__ == '__main__':
    typer.run(speed)

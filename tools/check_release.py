"""Run the one binary and check that it keeps the rules for processes.

It starts no second process, leaves no file outside memory file systems,
opens no io_uring and waits by epoll through libev.
"""

from collections.abc import Iterator
import contextlib
import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

import psutil
import urllib3

START_SECONDS = 60
WATCH_SECONDS = 3
POLL_SECONDS = 0.01
OUTPUTS = (1, 2)
MEMORY_FILE_SYSTEMS = ('tmpfs', 'ramfs', 'devtmpfs', 'proc', 'sysfs')
BYTES_PER_MEGABYTE = 1_000_000
ENDED_CHILDREN_FAULTS = 8  # cminflt, counted after the name


class ReleaseError(Exception):
    """A rule that the binary does not keep."""


def main() -> int:
    """Check a binary and print what was measured.

    :returns: the exit code.
    """
    binary = pathlib.Path(sys.argv[1]).resolve()
    megabytes = binary.stat().st_size / BYTES_PER_MEGABYTE
    print(f'size             {megabytes:.1f} MB')
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for kind in ('first', 'second'):
            _check(binary, folder, kind)
        left = [str(p) for p in (folder / 'home').rglob('*')]
        left += [str(p) for p in (folder / 'temporary').rglob('*')]
    if left:
        raise ReleaseError(f'files were left: {left}')
    print('files left       none in home and temporary folders')
    return 0


def _check(binary: pathlib.Path, folder: pathlib.Path, kind: str) -> None:
    started_at = time.monotonic()
    with _running(binary, folder, 'standin', 'platform') as store:
        _, where = _wait(store, folder, r'listening=(\S+)')
        print(f'{kind} start of any  {time.monotonic() - started_at:.2f} s')
        settings = folder / 'settings.json'
        settings.write_text(json.dumps(_settings(where)))
        started_at = time.monotonic()
        with _running(binary, folder, 'entry', str(settings)) as entry:
            _, admin = _wait(entry, folder, r'administration=(\S+)')
            print(
                f'{kind} entry start   {time.monotonic() - started_at:.2f} s'
            )
            _watch(psutil.Process(entry.pid))
            dump = urllib3.request('GET', f'http://{admin}/dump').json()
    runtime = dump['runtime']
    if runtime['backend'] != 'epoll' or 'libev' not in runtime['loop']:
        raise ReleaseError(f'another event loop: {runtime}')
    print(f'event loop       {runtime["loop"]}, {runtime["backend"]}')


def _watch(process: psutil.Process) -> None:
    end = time.monotonic() + WATCH_SECONDS
    while time.monotonic() < end:
        children = process.children(recursive=True)
        if children:
            raise ReleaseError(f'it started processes: {children}')
        time.sleep(POLL_SECONDS)
    # Faults of children that have ended; any process has some.
    stat = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    if int(stat.rpartition(')')[2].split()[ENDED_CHILDREN_FAULTS]):
        raise ReleaseError('it started a process that has ended since')
    for link in pathlib.Path(f'/proc/{process.pid}/fd').iterdir():
        if 'io_uring' in os.readlink(link):
            raise ReleaseError('it opened an io_uring')
    for opened in process.open_files():
        own_log = opened.fd in OUTPUTS
        on_disk = _file_system(opened.path) == 'disk'
        if on_disk and not own_log and opened.mode != 'r':
            raise ReleaseError(f'it writes to {opened.path}')
    memory = process.memory_info().rss / BYTES_PER_MEGABYTE
    print(f'processes        1, resident {memory:.0f} MB, no io_uring')


def _file_system(path: str) -> str:
    best, kind = '', 'disk'
    for part in psutil.disk_partitions(all=True):
        inside = path.startswith(part.mountpoint.rstrip('/') + '/')
        if inside and len(part.mountpoint) > len(best):
            best, kind = part.mountpoint, part.fstype
    return 'memory' if kind in MEMORY_FILE_SYSTEMS else 'disk'


@contextlib.contextmanager
def _running(
    binary: pathlib.Path, folder: pathlib.Path, *arguments: str
) -> Iterator[subprocess.Popen[bytes]]:
    homes = {name: folder / name for name in ('home', 'temporary')}
    for path in homes.values():
        path.mkdir(exist_ok=True)
    environment = {
        'PATH': os.environ['PATH'],
        'HOME': str(homes['home']),
        'TMPDIR': str(homes['temporary']),
    }
    log = folder / f'{arguments[0]}.log'
    with log.open('wb') as output:
        process = subprocess.Popen(
            [str(binary), *arguments],
            stdout=output,
            stderr=output,
            env=environment,
            cwd=homes['home'],
        )
    try:
        yield process
    finally:
        process.terminate()
        process.wait(START_SECONDS)


def _wait(
    process: subprocess.Popen[bytes], folder: pathlib.Path, pattern: str
) -> tuple[str, str]:
    name = 'entry' if 'administration' in pattern else 'standin'
    log = folder / f'{name}.log'
    children: set[int] = set()
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end and process.poll() is None:
        found = re.search(pattern, log.read_text())
        if found:
            if children:
                raise ReleaseError(f'it started processes: {children}')
            return found.group(0), found.group(1)
        with contextlib.suppress(psutil.NoSuchProcess):
            watched = psutil.Process(process.pid)
            children |= {c.pid for c in watched.children(recursive=True)}
        time.sleep(POLL_SECONDS)
    raise ReleaseError(f'no {pattern!r} in the log:\n{log.read_text()}')


def _settings(platform: str) -> dict[str, object]:
    listener = {'address': '127.0.0.1:0'}
    return {
        'instance': 'release-check',
        'place': 'here',
        'callers': listener,
        'administration': listener,
        'peers': listener,
        'platform': {'configuration': platform, 'instances': platform},
        'secrets': ['a-secret-for-the-release-check'],
        'drain_notice_seconds': 0,
    }


if __name__ == '__main__':
    try:
        sys.exit(main())
    except ReleaseError as failure:
        sys.exit(f'release check failed: {failure}')

"""Run the features and pass over just the failures in KNOWN-RED.txt."""

import argparse
from concurrent import futures
import json
import pathlib
import subprocess
import sys
import tempfile
import time

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
TEST_PREFIX = 'test: '
JOBS = 3
# A feature that measures a process under load: it runs after all others, and
# no other feature runs at the same time.
ALONE_TAG = '@alone'


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def _files(paths: list[str]) -> list[pathlib.Path]:
    found: set[pathlib.Path] = set()
    for path in map(pathlib.Path, paths or ['features']):
        if not path.exists():
            sys.exit(f'there is no {path}')
        found.update(path.rglob('*.feature') if path.is_dir() else [path])
    return sorted(found)


def _runs_alone(path: pathlib.Path) -> bool:
    lines = path.read_text().splitlines()
    return any(line.split()[:1] == [ALONE_TAG] for line in lines)


def _scenarios(path: pathlib.Path, report: str) -> dict[str, str]:
    statuses = {}
    for feature in json.loads(report or '[]'):
        for element in feature.get('elements', []):
            if element['type'] != 'background':
                # An outline without a name for its examples ends in a space.
                name = element['name'].strip()
                statuses[f'{path}: {name}'] = element['status']
    return statuses


def _run(path: pathlib.Path) -> dict[str, str]:
    """Run one feature; print what it wrote if anything failed."""
    start = time.monotonic()
    with tempfile.NamedTemporaryFile() as report:
        command = [sys.executable, '-m', 'behave', '--no-summary']
        command += ['-f', 'json', '-o', report.name, '-f', 'plain', str(path)]
        done = subprocess.run(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT
        )
        statuses = _scenarios(path, pathlib.Path(report.name).read_text())
    if done.returncode and set(statuses.values()) <= {'passed'}:
        statuses[f'{path}: behave ended with {done.returncode}'] = 'error'
    passed = sum(status == 'passed' for status in statuses.values())
    seconds = time.monotonic() - start
    print(f'{path}: {passed} of {len(statuses)} passed in {seconds:.0f} s')
    if passed < len(statuses) or done.returncode:
        print(done.stdout.decode(errors='replace'))
    sys.stdout.flush()
    return statuses


def main() -> int:
    """Run each feature by behave and print the true counts.

    :returns: 0 if nothing failed but what is known to fail.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument('--extra-failures', type=int, default=0)
    parser.add_argument('--jobs', type=int, default=JOBS)
    parser.add_argument('paths', nargs='*')
    arguments = parser.parse_args()
    statuses: dict[str, str] = {}
    files = _files(arguments.paths)
    alone = [path for path in files if _runs_alone(path)]
    shared = [path for path in files if path not in alone]
    with futures.ThreadPoolExecutor(arguments.jobs) as pool:
        for found in pool.map(_run, shared):
            statuses |= found
    for path in alone:
        statuses |= _run(path)
    failures = {name for name, s in statuses.items() if s != 'passed'}
    known = _known_red()
    for name in sorted(failures):
        label = 'known red' if name in known else 'FAILED'
        print(f'{label}: {name} ({statuses[name]})')
    for name in sorted(known & set(statuses) - failures):
        print(f'known red, but passed: {name}')
    passed = len(statuses) - len(failures)
    print(
        f'\n{passed} passed, {len(failures) + arguments.extra_failures} failed'
    )
    is_red = bool(failures - known) or arguments.extra_failures
    return 1 if is_red or not passed else 0


if __name__ == '__main__':
    sys.exit(main())

"""Run the features and pass over just the failures in KNOWN-RED.txt."""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
TEST_PREFIX = 'test: '


def _known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    }


def _scenarios(report: pathlib.Path) -> dict[str, str]:
    statuses = {}
    for feature in json.loads(report.read_text() or '[]'):
        if feature.get('status') == 'error':
            statuses[feature['location']] = 'error'
        for element in feature.get('elements', []):
            if element['type'] == 'background':
                continue
            name = f'{feature["location"].rsplit(":", 1)[0]}: '
            statuses[name + element['name']] = element['status']
    return statuses


def main() -> int:
    """Run behave and print the true counts.

    :returns: 0 if nothing failed but what is known to fail.
    """
    parser = argparse.ArgumentParser()
    parser.add_argument('--extra-failures', type=int, default=0)
    parser.add_argument('paths', nargs='*')
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, 'report.json')
        command = [sys.executable, '-m', 'behave', '--no-summary']
        command += ['-f', 'json', '-o', str(report), '-f', 'progress']
        code = subprocess.run(command + arguments.paths).returncode
        statuses = _scenarios(report) if report.exists() else {}
    passed = {name for name, s in statuses.items() if s == 'passed'}
    failures = set(statuses) - passed
    known = _known_red()
    for name in sorted(failures):
        label = 'known red' if name in known else 'FAILED'
        print(f'{label}: {name} ({statuses[name]})')
    for name in sorted(known & passed):
        print(f'known red, but passed: {name}')
    failed = len(failures) + arguments.extra_failures
    if code and not failures:
        print(f'behave ended with {code} without a failed scenario')
        failed += 1
    red = bool(failures - known) or failed > len(failures)
    print(f'\n{len(passed)} passed, {failed} failed')
    return 1 if red or not passed else 0


if __name__ == '__main__':
    sys.exit(main())

"""Runs seeds of the soak: ``python -m features.support.soak --seeds 1-50``."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import collections  # noqa: E402
import dataclasses  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from features.support.soak import planted  # noqa: E402
from features.support.soak import runs  # noqa: E402


def _arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1', help='7, 1-50 or "fresh:10"')
    for field in dataclasses.fields(runs.Size):
        parser.add_argument(
            f'--{field.name}', type=type(field.default), default=field.default
        )
    parser.add_argument('--planted', help='a fault of the program itself')
    parser.add_argument(
        '--plan', help='a planted fault whose plan the sound program plays'
    )
    parser.add_argument('--keep', help='a folder for logs of violations')
    return parser.parse_args()


def _seeds(text):
    if text.startswith('fresh:'):
        first = int(time.time()) * 100
        return range(first, first + int(text.partition(':')[2]))
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def main():
    """Play the seeds and print trials and violations by promise."""
    # What was started ends with the soak, also when it is told to stop.
    gevent.signal_handler(signal.SIGTERM, sys.exit, 143)
    arguments = _arguments()
    fields = dataclasses.fields(runs.Size)
    size = runs.Size(**{f.name: getattr(arguments, f.name) for f in fields})
    program = planted.program(arguments.planted) if arguments.planted else None
    trials, violations = collections.Counter(), collections.Counter()
    served, red = collections.Counter(), []
    for seed in _seeds(arguments.seeds):
        plan, name = None, arguments.planted or arguments.plan
        if name:
            plan = planted.plan(name, size.seconds)
        found = runs.run(
            seed, size, program=program, plan=plan, keep=arguments.keep
        )
        trials.update(found.trials)
        served.update(found.served)
        violations.update({k: len(v) for k, v in found.violations.items()})
        print(f'seed {seed}: {"RED" if found.violations else "held"}')
        if found.violations:
            red.append(seed)
            _show(found)
        sys.stdout.flush()
    print(f'\n{"promise":38}{"trials":>8}{"violations":>12}')
    for name in sorted(set(trials) | set(violations)):
        print(f'{name:38}{trials[name]:8}{violations[name]:12}')
    print('\nseen by callers: ', dict(sorted(served.items())))
    print(f'{len(red)} seeds with a violation: {red}')
    return 1 if red else 0


def _show(found):
    for at, name, own in found.schedule:
        print(f'  {at:6.2f} s  {name} ({own})')
    for name, texts in found.violations.items():
        for text in texts[: runs.MAX_SHOWN]:
            print(f'  {name}: {text}')


if __name__ == '__main__':
    sys.exit(main())

"""Run the failure suite and print trials and violations by promise."""

import collections
import json
import os
import pathlib
import subprocess
import sys
import tempfile

TALLY_VARIABLE = 'KINGCUPFRONT_TALLY'


def main() -> int:
    """Run the features with the tag ``promises`` and sum their tallies.

    :returns: behave's exit code.
    """
    trials: collections.Counter[str] = collections.Counter()
    violations: collections.Counter[str] = collections.Counter()
    notes: collections.Counter[str] = collections.Counter()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'tally.jsonl')
        code = subprocess.run(
            [sys.executable, '-m', 'behave', '--tags=@promises']
            + sys.argv[1:],
            env=os.environ | {TALLY_VARIABLE: str(path)},
        ).returncode
        lines = path.read_text().splitlines() if path.exists() else []
    for line in lines:
        row = json.loads(line)
        trials.update(row['trials'])
        violations.update(row['violations'])
        notes.update(row['notes'])
    print(f'\n{"promise":28}{"trials":>8}{"violations":>12}')
    for promise in sorted(trials):
        print(f'{promise:28}{trials[promise]:8}{violations[promise]:12}')
    print(f'\n{"seen by callers":40}{"count":>8}')
    for note in sorted(notes):
        print(f'{note:40}{notes[note]:8}')
    return code


if __name__ == '__main__':
    sys.exit(main())

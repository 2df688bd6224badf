"""Checks of the promises against callers' and targets' own records."""

import collections
import json
import os
import pathlib

TALLY_VARIABLE = 'KINGCUPFRONT_TALLY'


class Tally:
    """Counts trials and violations of each promise."""

    def __init__(self, name):
        self.name = name
        self.trials = collections.Counter()
        self.violations = collections.defaultdict(list)
        self.notes = collections.Counter()

    def check(self, promise, holds, text):
        self.trials[promise] += 1
        if not holds:
            self.violations[promise].append(text)

    def finish(self):
        """Write the counts where they are collected; fail on a violation."""
        path = os.environ.get(TALLY_VARIABLE)
        if path:
            row = {
                'name': self.name,
                'trials': self.trials,
                'violations': {p: len(v) for p, v in self.violations.items()},
                'notes': self.notes,
            }
            with pathlib.Path(path).open('a') as file:
                file.write(json.dumps(row) + '\n')
        broken = {p: v[:3] for p, v in self.violations.items()}
        assert not broken, f'{self.name}: {broken}'


def check_streams(tally, streams):
    """Check that tokens came once, in order and of one generation."""
    for record in streams:
        tally.notes[f'stream {record.end}'] += 1
        tally.notes['resumes'] += record.resumes
        numbers = [int(t.rsplit('-', 1)[1]) for t in record.texts]
        generations = {t.rsplit('-', 1)[0] for t in record.texts}
        tally.check(
            'tokens once',
            numbers == list(range(1, len(numbers) + 1))
            and len(generations) <= 1,
            f'{sorted(generations)}: {numbers}',
        )
        if record.end == 'done':
            tally.check(
                'whole answer',
                len(numbers) == record.wanted,
                f'{len(numbers)} of {record.wanted} tokens',
            )
        elif record.end == 'lost':
            tally.check(
                'lost is exact',
                record.lost_at == len(numbers),
                f'lost at {record.lost_at}, got {len(numbers)}',
            )


def check_actions(tally, actions, executions):
    """Check outcomes against what the targets ran."""
    runs = collections.Counter(
        json.loads(e['body'])['id'] for e in executions if e['body']
    )
    for record in actions:
        ran = runs[record.id]
        last = record.outcomes[-1] if record.outcomes else 'unanswered'
        kind = 'permit' if record.permit else 'no key'
        tally.notes[f'action {kind} {last}'] += 1
        tally.check('at most once', ran <= 1, f'{record.id} ran {ran} times')
        if last == 'not_run':
            tally.check(
                'not run is true', ran == 0, f'{record.id} ran: {record}'
            )
        if last == 'done':
            tally.check('done is true', ran == 1, f'{record.id} ran {ran}')
            tally.check(
                'whole answer',
                json.loads(json.loads(record.echoes[-1])['body'])['id']
                == record.id,
                f'{record.id} got {record.echoes[-1][:80]}',
            )

"""Compares routing policies side by side on the same seeded workloads."""

from collections.abc import Callable
from collections.abc import Iterable
import csv
import dataclasses
import pathlib
import typing

from matplotlib import figure
import tabulate

from kingcupfront_bench import deployment
from kingcupfront_bench import fleet
from kingcupfront_bench import measures
from kingcupfront_bench import scenario
from kingcupfront_route import headroom_policy
from kingcupfront_route import tuning

BASELINES = ('random', 'round_robin', 'least_outstanding')
SEEDS = (1, 2, 3, 4, 5)
HELD_OUT_SEEDS = (101, 102, 103, 104, 105)
ALL_FAULTS = scenario.Faults()
NO_FAULTS = scenario.Faults(flood=None, reclaim_at=None, slow=None)
PLOTTED = ('stall_p99_s', 'preempt_per_1000', 'gap_p99_ms', 'useful_tok_s')
LARGER_IS_BETTER = frozenset(
    {'useful_tok_s', 'all_tok_s', 'fairness'},
)

Spread = dict[str, tuple[float, float, float]]


@dataclasses.dataclass(frozen=True)
class Comparison:
    """The measures of several policies.

    :param by_policy: median, lowest and highest of each measure over the
        seeds, by policy.
    """

    by_policy: dict[str, Spread]

    def best_baseline(self, measure: str) -> float:
        """Return the best median that a baseline reached.

        :param measure: the name of a measure.
        """
        values = [
            spread[measure][0]
            for name, spread in self.by_policy.items()
            if name in BASELINES
        ]
        pick = max if measure in LARGER_IS_BETTER else min
        return pick(values)

    def ratio(self, policy: str, measure: str) -> float:
        """Return a policy's median over that of the best baseline.

        :param policy: the policy's name.
        :param measure: the name of a measure.
        """
        best = self.best_baseline(measure)
        return self.by_policy[policy][measure][0] / best if best else 0.0

    def table(self) -> str:
        """Return the comparison as text, one measure a line."""
        policies = list(self.by_policy)
        rows = []
        for measure in next(iter(self.by_policy.values())):
            row = [measure]
            for name in policies:
                middle, low, high = self.by_policy[name][measure]
                row.append(f'{middle:.4g} [{low:.3g}, {high:.3g}]')
            rows.append(row)
        return tabulate.tabulate(rows, ['measure', *policies], 'github')

    def write(self, folder: pathlib.Path, name: str) -> None:
        """Write the comparison as a table, as CSV and as a plot.

        :param folder: where to write.
        :param name: the start of the files' names.
        """
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f'{name}.md').write_text(self.table() + '\n')
        with (folder / f'{name}.csv').open('w', newline='') as file:
            writer = csv.writer(file)
            writer.writerow(['policy', 'measure', 'median', 'low', 'high'])
            for policy, spread in self.by_policy.items():
                for measure, values in spread.items():
                    writer.writerow([policy, measure, *values])
        self._plot(folder / f'{name}.png')

    def _plot(self, path: pathlib.Path) -> None:
        drawing = figure.Figure(figsize=(12, 7), layout='constrained')
        policies = list(self.by_policy)
        axes = drawing.subplots(2, 2).flat
        for axis, measure in zip(axes, PLOTTED, strict=True):
            spreads = [self.by_policy[name][measure] for name in policies]
            middle = [values[0] for values in spreads]
            errors = [
                [values[0] - values[1] for values in spreads],
                [values[2] - values[0] for values in spreads],
            ]
            axis.barh(policies, middle, xerr=errors)
            axis.invert_yaxis()
            axis.set_title(measure)
        drawing.savefig(path)


def run(
    where: deployment.Deployment,
    *,
    load: float = 0.9,
    policies: Iterable[str] = (*BASELINES, *headroom_policy.VERSIONS),
    seeds: Iterable[int] = SEEDS,
    goal: str = '',
    progress: Callable[[str], None] = lambda line: None,
    **options: typing.Any,
) -> Comparison:
    """Run each policy on each seed and return the comparison.

    :param where: the deployment.
    :param load: offered tokens a second as a fraction of capacity.
    :param policies: names of routing policies.
    :param seeds: seeds of the workload.
    :param goal: a name in :data:`tuning.BY_GOAL`; the deployment's if empty.
    :param progress: called with a line after each policy.
    :param options: further fields of :class:`scenario.Scenario`.
    """
    found: dict[str, Spread] = {}
    chosen = tuning.BY_GOAL[goal or where.goal]
    for name in policies:
        runs = []
        for seed in seeds:
            what = scenario.Scenario(
                where, name, load, seed, chosen=chosen, **options
            )
            runs.append(fleet.Fleet(what).run())
        found[name] = measures.spread(runs)
        progress(name)
    return Comparison(found)

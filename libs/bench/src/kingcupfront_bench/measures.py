"""What an experiment measures of one run."""

import collections
import dataclasses
import typing

import numpy

STALL_SECONDS = 0.25
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 100


@dataclasses.dataclass(slots=True)
class Record:
    """One request, as its caller saw it.

    :param at: the second of its arrival.
    :param team: the team's name.
    :param deadline: seconds until the first token is late.
    :param prompt_tokens: length of the prompt.
    :param output_tokens: length of the output.
    :param first_at: the second of the first token.
    :param ended_at: the second of the end.
    :param is_done: whether it got its whole answer.
    :param is_refused: whether it was refused before it ran.
    :param queued: seconds that it waited at the entry.
    :param stalled: seconds stalled after the first token.
    :param longest_gap: the longest gap after the first token, in seconds.
    :param crossed: whether it ran in another place.
    """

    at: float
    team: str
    deadline: float
    prompt_tokens: int
    output_tokens: int
    first_at: float | None = None
    ended_at: float | None = None
    is_done: bool = False
    is_refused: bool = False
    queued: float = 0.0
    stalled: float = 0.0
    longest_gap: float = 0.0
    crossed: bool = False

    @property
    def is_in_time(self) -> bool:
        """Whether the first token came by the deadline."""
        return (
            self.first_at is not None
            and self.first_at - self.at <= self.deadline
        )


class Gaps:
    """Weighted gaps between tokens."""

    def __init__(self) -> None:
        self._counts: collections.Counter[float] = collections.Counter()

    def add(self, seconds: float, count: int) -> None:
        """Count gaps of one length."""
        self._counts[round(seconds, 5)] += count

    def quantile(self, fraction: float) -> float:
        """Return the gap at a fraction from 0 to 1, in seconds."""
        if not self._counts:
            return 0.0
        lengths = numpy.array(sorted(self._counts))
        weights = numpy.cumsum([self._counts[x] for x in lengths])
        index = numpy.searchsorted(weights, fraction * weights[-1])
        return float(lengths[min(index, len(lengths) - 1)])


def _quantile(values: list[float], fraction: float) -> float:
    return float(numpy.quantile(values, fraction)) if values else 0.0


def _tokens_in(record: Record, start: float, end: float) -> float:
    """Return the output tokens that came within a time span."""
    if record.first_at is None or record.ended_at is None:
        return 0.0
    length = record.ended_at - record.first_at
    if length <= 0:
        inside = start <= record.first_at < end
        return float(record.output_tokens) if inside else 0.0
    overlap = min(record.ended_at, end) - max(record.first_at, start)
    return record.output_tokens * max(0.0, overlap) / length


def _jain(values: list[float]) -> float:
    """Return Jain's fairness index, 1 where all are equal."""
    total = sum(values)
    squares = sum(value * value for value in values)
    return total * total / (len(values) * squares) if squares else 0.0


def summary(
    records: list[Record],
    gaps: Gaps,
    preemptions: int,
    window: tuple[float, float],
    flood: tuple[float, float] | None,
    flooding_team: str,
) -> dict[str, float]:
    """Return the measures of one run.

    :param records: all requests.
    :param gaps: the gaps within the window.
    :param preemptions: preemptions within the window.
    :param window: the measured span in seconds.
    :param flood: the span in which one team floods.
    :param flooding_team: that team.
    """
    start, end = window
    seen = [r for r in records if start <= r.at < end]
    began = [r for r in seen if r.first_at is not None]
    waits = [r.first_at - r.at for r in began]
    stalls = [
        max(0.0, wait - STALL_SECONDS) + r.stalled
        for wait, r in zip(waits, began, strict=True)
    ]
    in_time = sum(_tokens_in(r, start, end) for r in records if r.is_in_time)
    all_tokens = sum(_tokens_in(r, start, end) for r in records)
    crossing = sum(_bytes(r) for r in began if r.crossed)
    return {
        'stall_p99_s': _quantile(stalls, 0.99),
        'midstall_p99_s': _quantile([r.stalled for r in began], 0.99),
        'preempt_per_1000': 1000 * preemptions / max(1, len(began)),
        **_gap_measures(gaps),
        'ttft_p50_s': _quantile(waits, 0.5),
        'ttft_p99_s': _quantile(waits, 0.99),
        'useful_tok_s': in_time / (end - start),
        'all_tok_s': all_tokens / (end - start),
        'missed_pct': 100 * _missed(seen),
        'refused_pct': 100 * sum(r.is_refused for r in seen) / len(seen),
        'lost': float(sum(_is_lost(r) for r in seen)),
        'fairness': _jain(_served_by_team(seen)),
        'flood_others_p99_s': _flood_wait(began, flood, flooding_team, False),
        'flood_team_p99_s': _flood_wait(began, flood, flooding_team, True),
        'cross_mb': crossing / 1e6,
    }


def _gap_measures(gaps: Gaps) -> dict[str, float]:
    """Return quantiles of the gaps in milliseconds."""
    fractions = {'p50': 0.5, 'p95': 0.95, 'p99': 0.99, 'p999': 0.999}
    return {
        f'gap_{name}_ms': 1000 * gaps.quantile(fraction)
        for name, fraction in fractions.items()
    }


def _bytes(record: Record) -> float:
    return (
        BYTES_PER_PROMPT_TOKEN * record.prompt_tokens
        + BYTES_PER_OUTPUT_TOKEN * record.output_tokens
    )


def _missed(records: list[Record]) -> float:
    return sum(not r.is_in_time for r in records) / max(1, len(records))


def _is_lost(record: Record) -> bool:
    return record.ended_at is not None and not record.is_done


def _served_by_team(records: list[Record]) -> list[float]:
    served: dict[str, list[float]] = {}
    for item in records:
        served.setdefault(item.team, []).append(float(item.is_in_time))
    return [float(numpy.mean(values)) for values in served.values()]


def _flood_wait(
    records: list[Record],
    flood: tuple[float, float] | None,
    team: str,
    of_team: bool,
) -> float:
    if flood is None:
        return 0.0
    waits = [
        r.first_at - r.at
        for r in records
        if flood[0] <= r.at < flood[1] and (r.team == team) == of_team
    ]
    return _quantile(waits, 0.99)


def spread(
    runs: list[dict[str, float]],
) -> dict[str, tuple[float, float, float]]:
    """Return median, lowest and highest of each measure over seeds."""
    found: dict[str, typing.Any] = {}
    for name in runs[0]:
        values = [run[name] for run in runs]
        found[name] = (
            float(numpy.median(values)),
            min(values),
            max(values),
        )
    return found

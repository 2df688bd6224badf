"""Running distributions of output lengths."""

import bisect

from hdrh import histogram

MAX_TOKENS = 131_072
SIGNIFICANT_DIGITS = 1
DEFAULT_TOKENS = 256.0
MIN_RECORDS = 20
REBUILD_RECORDS = 32
WINDOW_RECORDS = 2_000
MAX_KEYS = 4_096

Key = tuple[str, str, int]


class _Distribution:
    """The lengths of one kind of job; old lengths are forgotten."""

    def __init__(self) -> None:
        self._current = self._histogram()
        self._previous: histogram.HdrHistogram | None = None
        self._pending = 0
        self._bounds: list[int] = []
        self._means: list[float] = []
        self.count = 0

    @staticmethod
    def _histogram() -> histogram.HdrHistogram:
        return histogram.HdrHistogram(1, MAX_TOKENS, SIGNIFICANT_DIGITS)

    def record(self, tokens: int) -> None:
        if self._current.get_total_count() >= WINDOW_RECORDS:
            self._previous = self._current
            self._current = self._histogram()
        self._current.record_value(min(max(tokens, 1), MAX_TOKENS))
        self.count += 1
        self._pending += 1
        if self._pending >= REBUILD_RECORDS or self.count == MIN_RECORDS:
            self._rebuild()

    def _counts(self) -> dict[int, int]:
        counts: dict[int, int] = {}
        for item in (self._previous, self._current):
            if item is None:
                continue
            for step in item.get_recorded_iterator():
                value = step.value_iterated_to
                counts[value] = (
                    counts.get(value, 0) + step.count_at_value_iterated_to
                )
        return counts

    def _rebuild(self) -> None:
        """Tabulate the mean length of jobs that outlive each bound."""
        self._pending = 0
        counts = self._counts()
        bounds = sorted(counts)
        means = []
        total, weighted = 0, 0.0
        for bound in reversed(bounds):
            total += counts[bound]
            weighted += counts[bound] * bound
            means.append(weighted / total)
        self._bounds = bounds
        self._means = means[::-1]

    def mean_beyond(self, generated: int) -> float:
        """Return the mean length of jobs longer than ``generated``."""
        index = bisect.bisect_right(self._bounds, generated)
        if index == len(self._means):
            return generated * 1.5
        return self._means[index]


class LengthEstimator:
    """Expects how many tokens a job has left to generate.

    Kept for each service and team, apart for jobs with different bounds;
    conditioned on the tokens generated already, as a job that has run long
    tends to run longer.

    >>> lengths = Lengths()
    >>> for _ in range(40):
    ...     lengths.record('draft', 'a', None, 100)
    >>> round(lengths.remaining('draft', 'a', None, 40), -1)
    60.0
    """

    def __init__(self) -> None:
        self._by_key: dict[Key, _Distribution] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    @staticmethod
    def _keys(service: str, team: str, bound: int | None) -> tuple[Key, Key]:
        bucket = bound.bit_length() if bound else 0
        return (service, team, bucket), (service, '', bucket)

    def record(
        self, service: str, team: str, bound: int | None, tokens: int
    ) -> None:
        """Take in the length of a job that ended by itself.

        :param service: the job's service.
        :param team: the job's team.
        :param bound: the caller's bound in tokens, if any.
        :param tokens: output tokens.
        """
        for key in self._keys(service, team, bound):
            known = self._by_key.get(key)
            if known is None:
                if len(self._by_key) >= MAX_KEYS:
                    continue
                known = self._by_key[key] = _Distribution()
            known.record(tokens)

    def expected_remaining(
        self, service: str, team: str, bound: int | None, generated: int = 0
    ) -> float:
        """Return the expected tokens still to come.

        :param service: the job's service.
        :param team: the job's team.
        :param bound: the caller's bound in tokens, if any.
        :param generated: tokens generated already.
        """
        total = max(DEFAULT_TOKENS, 1.5 * generated)
        for key in self._keys(service, team, bound):
            known = self._by_key.get(key)
            if known is not None and known.count >= MIN_RECORDS:
                total = known.mean_beyond(generated)
                break
        if bound:
            total = min(total, bound)
        return max(total - generated, 1.0)

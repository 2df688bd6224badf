"""Estimates of output lengths, from running distributions."""

import bisect

from hdrh import histogram

MAX_TOKENS = 131_072
SIGNIFICANT_DIGITS = 1
DEFAULT_OUTPUT_TOKENS = 256.0
MIN_RECORDS = 20
REBUILD_INTERVAL_RECORDS = 32
WINDOW_RECORDS = 2_000
MAX_DISTRIBUTIONS = 4_096

_Key = tuple[str, str, int]


class _Distribution:
    """The output lengths of similar requests, without the oldest ones.

    Two histograms take turns: when the current one is full, it replaces the
    previous one.
    """

    def __init__(self) -> None:
        self._current = self._histogram()
        self._previous: histogram.HdrHistogram | None = None
        self._records_since_rebuild = 0
        self._lengths: list[int] = []
        self._mean_from_length: list[float] = []
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
        self._records_since_rebuild += 1
        if (
            self._records_since_rebuild >= REBUILD_INTERVAL_RECORDS
            or self.count == MIN_RECORDS
        ):
            self._rebuild()

    def _counts_by_length(self) -> dict[int, int]:
        counts: dict[int, int] = {}
        for recorded in (self._previous, self._current):
            if recorded is None:
                continue
            for step in recorded.get_recorded_iterator():
                length = step.value_iterated_to
                counts[length] = (
                    counts.get(length, 0) + step.count_at_value_iterated_to
                )
        return counts

    def _rebuild(self) -> None:
        """Tabulate, for each length, the mean of all lengths from it up."""
        self._records_since_rebuild = 0
        counts = self._counts_by_length()
        lengths = sorted(counts)
        means = []
        total, weighted = 0, 0.0
        for length in reversed(lengths):
            total += counts[length]
            weighted += counts[length] * length
            means.append(weighted / total)
        self._lengths = lengths
        self._mean_from_length = means[::-1]

    def mean_beyond(self, generated: int) -> float:
        """Return the mean of the lengths greater than ``generated``."""
        index = bisect.bisect_right(self._lengths, generated)
        if index == len(self._mean_from_length):
            return generated * 1.5
        return self._mean_from_length[index]


class LengthEstimator:
    """Estimates how many tokens a request has left to generate.

    There is a distribution for each service and team, and within these for
    requests with output limits of similar size. Estimates are conditioned on
    the tokens generated already, as a request that has run long tends to run
    longer.

    >>> estimator = LengthEstimator()
    >>> for _ in range(40):
    ...     estimator.record('draft', 'a', None, 100)
    >>> round(estimator.expected_remaining('draft', 'a', None, 40), -1)
    60.0
    """

    def __init__(self) -> None:
        self._distributions_by_key: dict[_Key, _Distribution] = {}

    def __len__(self) -> int:
        return len(self._distributions_by_key)

    @staticmethod
    def _keys(
        service: str, team: str, max_tokens: int | None
    ) -> tuple[_Key, _Key]:
        bucket = max_tokens.bit_length() if max_tokens else 0
        return (service, team, bucket), (service, '', bucket)

    def record(
        self, service: str, team: str, max_tokens: int | None, tokens: int
    ) -> None:
        """Record the output length of a request that is done.

        :param service: the request's service.
        :param team: the request's team.
        :param max_tokens: the caller's limit on the output, if any.
        :param tokens: output tokens.
        """
        for key in self._keys(service, team, max_tokens):
            distribution = self._distributions_by_key.get(key)
            if distribution is None:
                if len(self._distributions_by_key) >= MAX_DISTRIBUTIONS:
                    continue
                distribution = self._distributions_by_key[key] = (
                    _Distribution()
                )
            distribution.record(tokens)

    def expected_remaining(
        self,
        service: str,
        team: str,
        max_tokens: int | None,
        generated: int = 0,
    ) -> float:
        """Return the expected number of tokens still to be generated.

        A team with too few records is estimated by its whole service, and a
        service with too few records by a default length.

        :param service: the request's service.
        :param team: the request's team.
        :param max_tokens: the caller's limit on the output, if any.
        :param generated: tokens generated already.
        """
        total = max(DEFAULT_OUTPUT_TOKENS, 1.5 * generated)
        for key in self._keys(service, team, max_tokens):
            distribution = self._distributions_by_key.get(key)
            if distribution is not None and distribution.count >= MIN_RECORDS:
                total = distribution.mean_beyond(generated)
                break
        if max_tokens:
            total = min(total, max_tokens)
        return max(total - generated, 1.0)

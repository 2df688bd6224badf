"""What an instance believes of the load of one engine.

Load pattern: many instances read the same late reports, and each sends more
before the next one. Own sends count until a report can hold them.
"""

from collections.abc import Iterator
import contextlib
import dataclasses

import gevent

from kingcupfront_gateway import objects

# A report is as old as this when it arrives; from the platform's pages.
REPORT_LAG_SECONDS = 0.5
# A guess of output where neither the caller nor history tells it.
DEFAULT_OUTPUT_TOKENS = 400


@dataclasses.dataclass
class TrackedGeneration:
    """A generation of this instance on an engine.

    :param prompt: tokens of its prompt.
    :param output: tokens of output that are expected.
    :param sent_at: the second at which it was sent.
    :param produced: tokens that it has made.
    :param is_copy: whether only a copy of its memory is kept there.
    """

    prompt_tokens: int
    output_tokens: int
    sent_at: float
    produced_tokens: int = 0
    is_copy: bool = False

    @property
    def memory_tokens(self) -> int:
        """The tokens of memory that it will need at most."""
        return self.prompt_tokens + max(
            self.output_tokens, self.produced_tokens
        )

    def as_copy(self) -> 'TrackedGeneration':
        """Return the same run as a copy of its memory."""
        return dataclasses.replace(self, is_copy=True)


class EngineLoad:
    """The load of one engine: its last report and own sends since.

    :param engine: its capacity.
    """

    def __init__(self, capacity: objects.EngineCapacity) -> None:
        self.capacity = capacity
        self.generations_by_id: dict[str, TrackedGeneration] = {}
        self._report: objects.LoadReport | None = None
        self._reported_at = 0.0
        self._asked_at = float('-inf')
        self.refresh_task: gevent.Greenlet | None = None

    def record_report(
        self, report: objects.LoadReport, asked_at: float
    ) -> None:
        """Replace what was reported before.

        :param asked_at: the second at which the report was asked for.
        """
        self._report = report
        self._asked_at = asked_at
        self._reported_at = asked_at - REPORT_LAG_SECONDS

    @contextlib.contextmanager
    def track(
        self, request_id: str, generation: TrackedGeneration
    ) -> Iterator[TrackedGeneration]:
        """Count a run while the block runs.

        :param request_id: the id of the attempt.
        :param run: what to count.
        """
        previous = self.generations_by_id.get(request_id)
        self.generations_by_id[request_id] = generation
        try:
            yield generation
        finally:
            if self.generations_by_id.get(request_id) is generation:
                del self.generations_by_id[request_id]
                if previous is not None:
                    self.generations_by_id[request_id] = previous

    def report_age(self, now: float) -> float:
        """Return the seconds since the last report was asked for."""
        return now - self._asked_at

    def summary(self, now: float) -> dict[str, object]:
        """Return what is believed, for logs and dumps."""
        report = self._report
        return {
            'places_taken': self.slots_in_use(),
            'memory_needed': self.memory_needed(),
            'prompts_ahead': self.pending_prefills(),
            'reported_running': report.running if report else None,
            'reported_queued': report.queued if report else None,
            'reported_reading': report.reading if report else None,
            'reported_memory': report.memory_used if report else None,
            'report_age': round(now - self._reported_at, 2),
        }

    def _unreported_generations(self) -> list[TrackedGeneration]:
        return [
            generation
            for generation in self.generations_by_id.values()
            if generation.sent_at > self._reported_at
        ]

    def _unreported_request_count(self) -> int:
        return sum(
            not generation.is_copy
            for generation in self._unreported_generations()
        )

    def slots_in_use(self) -> int:
        """Return the requests that run or wait there."""
        own = sum(
            not generation.is_copy
            for generation in self.generations_by_id.values()
        )
        if self._report is None:
            return own
        reported = self._report.running + self._report.queued
        return max(own, reported + self._unreported_request_count())

    def memory_needed(self) -> int:
        """Return the tokens of memory that all known runs will need."""
        own = sum(
            generation.memory_tokens
            for generation in self.generations_by_id.values()
        )
        if self._report is None:
            return own
        recent = sum(
            generation.memory_tokens
            for generation in self._unreported_generations()
        )
        growth = sum(
            max(0, generation.output_tokens - generation.produced_tokens)
            for generation in self.generations_by_id.values()
            if generation.sent_at <= self._reported_at
        )
        return max(own, self._report.memory_used + growth + recent)

    def pending_prefills(self) -> int:
        """Return the requests whose prompts the engine has still to read."""
        own = sum(
            not generation.is_copy and not generation.produced_tokens
            for generation in self.generations_by_id.values()
        )
        if self._report is None:
            return own
        reported = self._report.queued + self._report.reading
        return max(own, reported + self._unreported_request_count())


def expected_output_tokens(length_hint: int | None, max_tokens: int) -> int:
    """Return the output tokens to expect.

    :param hint: the caller's guess, or None.
    :param most: the most tokens to generate, 0 if unknown.
    """
    expected = length_hint or DEFAULT_OUTPUT_TOKENS
    return min(expected, max_tokens or expected)


def worst_case_output_tokens(length_hint: int | None, max_tokens: int) -> int:
    """Return the output tokens that a generation may have at most.

    :param hint: the caller's guess, or None; it is often far off.
    :param most: the most tokens to generate, 0 if unknown.
    """
    return max_tokens or expected_output_tokens(length_hint, max_tokens)

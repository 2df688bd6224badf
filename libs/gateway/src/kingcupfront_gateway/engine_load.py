"""An instance's estimate of the load of one engine.

Load pattern: many instances read the same delayed reports, and each sends
more requests before the next report. An instance adds its own requests to the
estimate until a report can include them.
"""

from collections.abc import Iterator
import contextlib
import dataclasses

import gevent

from kingcupfront_gateway import objects

# The age of a report when it arrives, according to the platform's pages.
REPORT_LAG_SECONDS = 0.5
# The estimate if neither the caller nor past requests give one.
DEFAULT_OUTPUT_TOKENS = 400


@dataclasses.dataclass
class TrackedGeneration:
    """A generation that this instance has sent to an engine.

    :param prompt_tokens: the length of its prompt.
    :param output_tokens: the expected length of its output.
    :param sent_at: the monotonic time at which it was sent.
    :param produced_tokens: the output that it has produced so far.
    :param is_copy: whether the engine only keeps a copy of its KV cache.
    """

    prompt_tokens: int
    output_tokens: int
    sent_at: float
    produced_tokens: int = 0
    is_copy: bool = False

    @property
    def memory_tokens(self) -> int:
        """The KV cache that it is expected to need, in tokens."""
        return self.prompt_tokens + max(
            self.output_tokens, self.produced_tokens
        )

    def as_copy(self) -> 'TrackedGeneration':
        """Return the entry of a copy of its KV cache on another engine."""
        return dataclasses.replace(self, is_copy=True)


class EngineLoad:
    """The last report of an engine and the requests sent since then.

    :param capacity: the capacity of the engine.
    """

    def __init__(self, capacity: objects.EngineCapacity) -> None:
        self.capacity = capacity
        # The newest entry of each request, and all of them.
        self.generations_by_id: dict[str, TrackedGeneration] = {}
        self._tracked_by_id: dict[str, list[TrackedGeneration]] = {}
        self._report: objects.LoadReport | None = None
        self._reported_at = 0.0
        self._requested_at = float('-inf')
        self.refresh_task: gevent.Greenlet | None = None

    def record_report(
        self, report: objects.LoadReport, requested_at: float
    ) -> None:
        """Replace the previous report.

        :param requested_at: the monotonic time of the report's request.
        """
        self._report = report
        self._requested_at = requested_at
        self._reported_at = requested_at - REPORT_LAG_SECONDS

    @contextlib.contextmanager
    def track(
        self, request_id: str, generation: TrackedGeneration
    ) -> Iterator[TrackedGeneration]:
        """Count a generation as load while the block runs.

        Of several entries of a request, the newest counts.

        :param request_id: the id of its request.
        :param generation: the generation to count.
        """
        tracked = self._tracked_by_id.setdefault(request_id, [])
        tracked.append(generation)
        self.generations_by_id[request_id] = generation
        try:
            yield generation
        finally:
            # Blocks of the same request overlap in any order.
            position = [entry is generation for entry in tracked].index(True)
            del tracked[position]
            if tracked:
                self.generations_by_id[request_id] = tracked[-1]
            else:
                del self._tracked_by_id[request_id]
                del self.generations_by_id[request_id]

    def report_age(self, now: float) -> float:
        """Return the seconds since the last report was requested."""
        return now - self._requested_at

    def summary(self, now: float) -> dict[str, object]:
        """Return the estimate for logs and dumps."""
        report = self._report
        return {
            'places_taken': self.slots_in_use(),
            'memory_needed': self.memory_needed(),
            'prompts_ahead': self.pending_prefills(),
            'reported_running': report.running if report else None,
            'reported_queued': report.queued if report else None,
            'reported_reading': report.prefilling if report else None,
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
        """Return the number of requests that run or wait on the engine."""
        own = sum(
            not generation.is_copy
            for generation in self.generations_by_id.values()
        )
        if self._report is None:
            return own
        reported = self._report.running + self._report.queued
        return max(own, reported + self._unreported_request_count())

    def memory_needed(self) -> int:
        """Return the KV cache that all known requests will need, in tokens."""
        own = sum(
            generation.memory_tokens
            for generation in self.generations_by_id.values()
        )
        if self._report is None:
            return own
        unreported = sum(
            generation.memory_tokens
            for generation in self._unreported_generations()
        )
        growth = sum(
            max(0, generation.output_tokens - generation.produced_tokens)
            for generation in self.generations_by_id.values()
            if generation.sent_at <= self._reported_at
        )
        return max(own, self._report.memory_used + growth + unreported)

    def part_in_use(self) -> float:
        """Return the part of the slots or of the KV cache that is in use."""
        return min(
            1.0,
            max(
                self.slots_in_use() / self.capacity.slots,
                self.memory_needed() / self.capacity.memory_tokens,
            ),
        )

    def pending_prefills(self) -> int:
        """Return the number of requests that wait for their prefill."""
        own = sum(
            not generation.is_copy and not generation.produced_tokens
            for generation in self.generations_by_id.values()
        )
        if self._report is None:
            return own
        reported = self._report.queued + self._report.prefilling
        return max(own, reported + self._unreported_request_count())


def expected_output_tokens(length_hint: int | None, max_tokens: int) -> int:
    """Return the expected length of the output, in tokens.

    :param length_hint: the caller's estimate, or None.
    :param max_tokens: the most tokens to generate, 0 if unknown.
    """
    expected = length_hint or DEFAULT_OUTPUT_TOKENS
    return min(expected, max_tokens or expected)


def worst_case_output_tokens(length_hint: int | None, max_tokens: int) -> int:
    """Return the upper bound of the output, in tokens.

    :param length_hint: the caller's estimate, or None; it is often far off.
    :param max_tokens: the most tokens to generate, 0 if unknown.
    """
    return max_tokens or expected_output_tokens(length_hint, max_tokens)

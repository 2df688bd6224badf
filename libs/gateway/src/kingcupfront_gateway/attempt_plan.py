"""Plans the next attempt of a generation."""

import dataclasses

from kingcupfront_gateway import adapter
from kingcupfront_gateway import prefill_limit
from kingcupfront_gateway import targets

# An engine may refuse to continue from a copy until it has learnt that the
# generation has stopped on its earlier engine.
FIRST_BACKOFF_SECONDS = 0.03
MAX_TRIES = 6


@dataclasses.dataclass(frozen=True)
class AttemptPlan:
    """Where and how to make the next attempt of a generation.

    :param state: the engine that gets the request.
    :param copy: the copy of the KV cache from which the generation continues,
        or None for a fresh start.
    :param lease: the name of the lease of capacity at the engine, or None.
    :param prefill_lease: the lease that admits the prefill, if one is needed.
    :param retries: how often the same plan was tried before.
    :param source: an engine that can continue from the copy as well if this
        one does not get the request, or None.
    """

    state: targets.TargetState
    copy: adapter.CacheCopy | None = None
    lease: str | None = None
    prefill_lease: prefill_limit.PrefillLease | None = None
    retries: int = 0
    source: targets.TargetState | None = None

    @property
    def backoff_seconds(self) -> float:
        """The wait before the attempt, which doubles with each retry."""
        if not self.retries:
            return 0.0
        return FIRST_BACKOFF_SECONDS * 2 ** (self.retries - 1)

    def release_prefill_lease(self) -> None:
        """Let another generation begin its prefill at the engine."""
        if self.prefill_lease is not None:
            self.prefill_lease.release()

    def retry(self) -> 'AttemptPlan | None':
        """Return the plan of a retry, or None if no retries are left."""
        if self.state.is_removed or self.retries + 1 >= MAX_TRIES:
            return None
        return dataclasses.replace(self, retries=self.retries + 1)

    def at_source(self) -> 'AttemptPlan | None':
        """Return the plan to continue from the copy where it was made."""
        if self.source is None or self.source.is_removed:
            return None
        return AttemptPlan(self.source, self.copy)

"""Where a generation starts or goes on."""

import dataclasses

from kingcupfront_gateway import adapter
from kingcupfront_gateway import prefill_limit
from kingcupfront_gateway import targets

# An engine may refuse a copy until it has heard that the generation has
# stopped elsewhere.
FIRST_BACKOFF_SECONDS = 0.03
MAX_TRIES = 6


@dataclasses.dataclass(frozen=True)
class AttemptPlan:
    """The next send of a generation.

    :param state: the engine that it is sent to.
    :param copy: the copy from which it goes on, or None for a fresh start.
    :param lease: the name of the capacity that is reserved there.
    :param turn: the turn to read the prompt there, if one is needed.
    :param tries: how often it was tried before.
    """

    state: targets.TargetState
    copy: adapter.CacheCopy | None = None
    lease: str | None = None
    prefill_lease: prefill_limit.PrefillLease | None = None
    retries: int = 0

    @property
    def backoff_seconds(self) -> float:
        """Seconds to wait before the step; they double with each try."""
        if not self.retries:
            return 0.0
        return FIRST_BACKOFF_SECONDS * 2 ** (self.retries - 1)

    def retry(self) -> 'AttemptPlan | None':
        """Return the step to try once more, or None if that is over."""
        if self.state.is_removed or self.retries + 1 >= MAX_TRIES:
            return None
        return dataclasses.replace(self, retries=self.retries + 1)

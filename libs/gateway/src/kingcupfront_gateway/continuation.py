"""Where a generation starts or goes on."""

import dataclasses

from kingcupfront_gateway import adapter
from kingcupfront_gateway import targets

# An engine may refuse a copy until it has heard that the generation has
# stopped elsewhere.
AGAIN_SECONDS = 0.03
MAX_AGAIN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Step:
    """The next send of a generation.

    :param state: the engine that it is sent to.
    :param copy: the copy from which it goes on, or None for a fresh start.
    :param since: the second of the first try with that copy.
    :param is_repeated: whether it was tried before.
    """

    state: targets.TargetState
    copy: adapter.Copy | None = None
    since: float = 0.0
    is_repeated: bool = False

    def again(self, now: float) -> 'Step | None':
        """Return the step to try once more, or None if that is over."""
        if self.state.is_gone or now - self.since > MAX_AGAIN_SECONDS:
            return None
        return dataclasses.replace(self, is_repeated=True)

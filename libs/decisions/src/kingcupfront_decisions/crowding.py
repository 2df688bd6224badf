"""How crowded the engines of a service are, from the reports of some.

Load pattern: bursts of seconds on engines that are half empty otherwise. Room
that is reserved while nobody lacks any only keeps requests waiting.
"""

import dataclasses

# The part of an engine in use up to which nothing is reserved, and from which
# on all of the reserve counts.
CALM_PART = 0.5
CROWDED_PART = 0.8
# Weight of the newest sample of engines.
SAMPLE_WEIGHT = 0.3
# Older samples say nothing of the present.
MAX_AGE_SECONDS = 2.0


@dataclasses.dataclass
class Sample:
    """The part of the engines that was in use, and when, in seconds."""

    part: float
    at: float


class Crowding:
    """The part of the engines that is in use, by service."""

    def __init__(self) -> None:
        self._by_service: dict[str, Sample] = {}

    def record(self, service: str, parts: list[float], now: float) -> None:
        """Record a sample of engines.

        :param parts: for each engine the part in use, from 0 to 1.
        """
        if not parts:
            return
        part = sum(parts) / len(parts)
        known = self._by_service.get(service)
        if known is None or now - known.at > MAX_AGE_SECONDS:
            self._by_service[service] = Sample(part, now)
            return
        known.part += SAMPLE_WEIGHT * (part - known.part)
        known.at = now

    def reserve_part(self, service: str, now: float) -> float:
        """Return the part of a reserve that counts at the moment."""
        known = self._by_service.get(service)
        if known is None or now - known.at > MAX_AGE_SECONDS:
            return 0.0
        part = (known.part - CALM_PART) / (CROWDED_PART - CALM_PART)
        return min(1.0, max(0.0, part))

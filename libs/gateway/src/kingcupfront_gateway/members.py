"""Known gateways, and the choice of the one that watches the directory.

Load pattern: the directory serves a fixed number of calls a second to a
fleet of any size. In each data centre one gateway watches the directory and
the others fetch the changes from it. The choice needs no consensus: a second
watcher only costs additional calls to the directory.
"""

import dataclasses
import random

from kingcupfront_core import rendezvous

# A gateway that has not been seen for this long is removed.
EXPIRY_SECONDS = 10.0
# Gateways of other data centres are heard of only when a seed is asked.
DISTANT_EXPIRY_SECONDS = 60.0
# A gateway that did not answer is not chosen for this long; the time doubles
# with each further failure.
FIRST_SUSPECT_SECONDS = 3.0
MAX_SUSPECT_SECONDS = 12.0
# Bounds the memory of a gateway that others use as a seed.
MAX_MEMBERS = 4096


@dataclasses.dataclass
class Member:
    """One known gateway.

    :param zone: its data centre.
    :param last_seen_at: when it was last known to be alive, in seconds.
    :param failures: failed requests since its last answer.
    :param suspect_until: until when it is not chosen, in seconds.
    """

    zone: str
    last_seen_at: float
    failures: int = 0
    suspect_until: float = 0.0


class Members:
    """Known gateways by address.

    :param own_address: the address of this gateway.
    :param zone: the data centre of this gateway.
    """

    def __init__(self, own_address: str, zone: str) -> None:
        self._own_address = own_address
        self._zone = zone
        self._by_address: dict[str, Member] = {}

    def record_seen(self, address: str, zone: str, now: float) -> None:
        """Record that a gateway is alive."""
        if address == self._own_address:
            return
        member = self._by_address.get(address)
        if member is not None:
            member.last_seen_at = now
            member.zone = zone
        elif len(self._by_address) < MAX_MEMBERS:
            self._by_address[address] = Member(zone, now)

    def record_failure(self, address: str, now: float) -> None:
        """Record a failed request to a gateway."""
        member = self._by_address.get(address)
        if member is not None:
            member.suspect_until = now + min(
                FIRST_SUSPECT_SECONDS * 2**member.failures, MAX_SUSPECT_SECONDS
            )
            member.failures += 1

    def record_success(self, address: str, now: float) -> None:
        """Record an answer of a gateway of this data centre."""
        self.record_seen(address, self._zone, now)
        member = self._by_address.get(address)
        if member is not None:
            member.failures = 0

    def _remove_expired(self, now: float) -> None:
        for address, member in list(self._by_address.items()):
            expiry = (
                EXPIRY_SECONDS
                if member.zone == self._zone
                else DISTANT_EXPIRY_SECONDS
            )
            if now - member.last_seen_at > expiry:
                del self._by_address[address]

    def sample(
        self, zone: str, now: float, count: int, rng: random.Random
    ) -> list[str]:
        """Return some other gateways of a data centre, at random."""
        candidates = [
            a for a in self.in_zone(zone, now) if a != self._own_address
        ]
        return rng.sample(candidates, min(count, len(candidates)))

    def other_zones(self, now: float) -> list[str]:
        """Return the other data centres of which gateways are known."""
        self._remove_expired(now)
        zones = {member.zone for member in self._by_address.values()}
        return sorted(zones - {self._zone})

    def in_zone(self, zone: str, now: float) -> list[str]:
        """Return the addresses of a data centre's gateways, this one included.

        Leaves out those that recently failed, and removes those that have
        not been seen for a while.
        """
        self._remove_expired(now)
        trusted = [
            address
            for address, member in self._by_address.items()
            if member.zone == zone and member.suspect_until <= now
        ]
        return [*trusted, self._own_address] if zone == self._zone else trusted

    def known_in_own_zone(self, now: float) -> list[str]:
        """Return the gateways of this data centre, also those that failed."""
        self._remove_expired(now)
        known = [
            address
            for address, member in self._by_address.items()
            if member.zone == self._zone
        ]
        return [*known, self._own_address]

    def watcher(self, now: float) -> str | None:
        """Return the address of the watcher; None if this gateway watches."""
        candidates = self.in_zone(self._zone, now)
        chosen = rendezvous.rank(self._zone, candidates)[0]
        return None if chosen == self._own_address else chosen

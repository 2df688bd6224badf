"""The gateways that a gateway knows, and which of them watches the directory.

Load pattern: the directory serves a fixed number of calls a second to a
fleet of any size. In each data centre one gateway watches it and the others
ask that one. The choice needs no agreement: two that both watch cost calls
and nothing else.
"""

import dataclasses

from kingcupfront_core import rendezvous

# Who was not heard of for this long is forgotten.
EXPIRY_SECONDS = 10.0
# Who did not answer is passed over for this long, and for twice as long each
# time that it goes on.
FIRST_SUSPECT_SECONDS = 3.0
MAX_SUSPECT_SECONDS = 12.0
# Bounds the memory of a gateway that others use as a seed.
MAX_MEMBERS = 4096


@dataclasses.dataclass
class Member:
    """One gateway.

    :param heard_at: the second at which it was last heard of.
    :param failures: how often it did not answer since its last answer.
    :param suspect_until: the second until which it is passed over.
    """

    zone: str
    last_seen_at: float
    failures: int = 0
    suspect_until: float = 0.0


class Members:
    """Known gateways by address.

    :param own: the address of this gateway.
    :param place: its data centre.
    """

    def __init__(self, own_address: str, zone: str) -> None:
        self._own_address = own_address
        self._zone = zone
        self._by_address: dict[str, Member] = {}

    def record_seen(self, address: str, zone: str, now: float) -> None:
        """Take in that a gateway lives."""
        if address == self._own_address:
            return
        member = self._by_address.get(address)
        if member is not None:
            member.last_seen_at = now
            member.zone = zone
        elif len(self._by_address) < MAX_MEMBERS:
            self._by_address[address] = Member(zone, now)

    def record_failure(self, address: str, now: float) -> None:
        """Take in that a gateway did not answer as it should."""
        member = self._by_address.get(address)
        if member is not None:
            member.suspect_until = now + min(
                FIRST_SUSPECT_SECONDS * 2**member.failures, MAX_SUSPECT_SECONDS
            )
            member.failures += 1

    def record_success(self, address: str, now: float) -> None:
        """Take in that a gateway of this data centre answered."""
        self.record_seen(address, self._zone, now)
        member = self._by_address.get(address)
        if member is not None:
            member.failures = 0

    def in_zone(self, zone: str, now: float) -> list[str]:
        """Return the gateways of a data centre, this one among them."""
        for address, member in list(self._by_address.items()):
            if now - member.last_seen_at > EXPIRY_SECONDS:
                del self._by_address[address]
        trusted = [
            address
            for address, member in self._by_address.items()
            if member.zone == zone and member.suspect_until <= now
        ]
        return [*trusted, self._own_address] if zone == self._zone else trusted

    def watcher(self, now: float) -> str | None:
        """Return who watches for this data centre; None if it is this one."""
        candidates = self.in_zone(self._zone, now)
        chosen = rendezvous.rank(self._zone, candidates)[0]
        return None if chosen == self._own_address else chosen

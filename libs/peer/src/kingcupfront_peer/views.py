"""Which members a process keeps an eye on."""

from collections.abc import Iterable
import math

from kingcupfront_core import rendezvous
from kingcupfront_peer import member as members

BASE_MEMBERS = 8
MEMBERS_PER_DOUBLING = 4
MEMBERS_PER_PLACE = 2


def max_members(fleet: int) -> int:
    """Return how many members a view holds in a fleet of that size.

    A random graph is connected once its degree passes the logarithm of its
    size (Erdos and Renyi, 1960); Ganesh, Kermarrec and Massoulie, "SCAMP",
    2001, give the same order for gossip.
    """
    return BASE_MEMBERS + int(MEMBERS_PER_DOUBLING * math.log2(max(fleet, 1)))


def select_view(
    own: members.Member,
    candidates: Iterable[members.Member],
    pinned: Iterable[str] = (),
) -> set[str]:
    """Return the ids of the members in the view of a process.

    Each process ranks the others by a hash of both names, so that the views
    form a random graph that stays the same while the fleet does. Every place
    has seats, so that places find each other again after a partition.

    :param own: the process.
    :param candidates: all members that it knows of, without itself.
    :param pinned: ids that are in the view whatever their rank.
    """
    by_id = {item.instance: item for item in candidates}
    chosen = {name for name in pinned if name in by_id}
    ranked = rendezvous.rank(own.instance, by_id)
    seats_by_place: dict[str, int] = {}
    for name in ranked:
        place = by_id[name].place
        taken = seats_by_place.get(place, 0)
        if taken < MEMBERS_PER_PLACE:
            seats_by_place[place] = taken + 1
            chosen.add(name)
    room = max_members(len(by_id) + 1)
    near = [n for n in ranked if by_id[n].place == own.place]
    for name in near[: room // 2] + ranked:
        if len(chosen) >= room:
            break
        chosen.add(name)
    return chosen

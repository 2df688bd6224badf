"""Selection of the members that a process probes: its partial view."""

from collections.abc import Iterable
import math

from kingcupfront_core import rendezvous
from kingcupfront_peer import member as members

BASE_MEMBERS = 8
MEMBERS_PER_DOUBLING = 4
MEMBERS_PER_PLACE = 2


def max_members(fleet_size: int) -> int:
    """Return how many members a view holds in a fleet of that size.

    A random graph is connected once its degree passes the logarithm of its
    size (Erdos and Renyi, 1960); Ganesh, Kermarrec and Massoulie, "SCAMP",
    2001, give the same order for gossip.

    :param fleet_size: how many entries there are.
    """
    return BASE_MEMBERS + int(
        MEMBERS_PER_DOUBLING * math.log2(max(fleet_size, 1))
    )


def select_view(
    own: members.Member,
    candidates: Iterable[members.Member],
    pinned: Iterable[str] = (),
) -> set[str]:
    """Return the ids of the members in the view of a process.

    Each process ranks the others by a hash of both names, so that the views
    form a random graph that stays the same while the fleet does. Each view
    holds members of every data centre, so that data centres find each other
    again after a partition.

    :param own: the process.
    :param candidates: all members that it knows of, without itself.
    :param pinned: the ids that are in the view whatever their rank.
    """
    by_id = {member.instance: member for member in candidates}
    chosen = {name for name in pinned if name in by_id}
    ranked = rendezvous.rank(own.instance, by_id)
    counts_by_place: dict[str, int] = {}
    for name in ranked:
        place = by_id[name].place
        count = counts_by_place.get(place, 0)
        if count < MEMBERS_PER_PLACE:
            counts_by_place[place] = count + 1
            chosen.add(name)
    limit = max_members(len(by_id) + 1)
    same_place = [n for n in ranked if by_id[n].place == own.place]
    for name in same_place[: limit // 2] + ranked:
        if len(chosen) >= limit:
            break
        chosen.add(name)
    return chosen

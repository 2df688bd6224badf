"""The regions in which a request may be served.

Load pattern: the targets of the permitted regions are full while others are
idle. A request waits or is refused then; it is never sent elsewhere.
"""

from collections.abc import Collection
from collections.abc import Iterable

# Stands for all regions, those of unknown zones included.
ALL = None


def permitted(
    of_route: Collection[str], of_team: Collection[str]
) -> frozenset[str] | None:
    """Return the regions in which a request may be served.

    :param of_route: the regions that its route allows; empty for all.
    :param of_team: the regions that its team allows; empty for all.
    :returns: the regions that both allow, or ``ALL``.
    """
    if not of_route and not of_team:
        return ALL
    if not of_route or not of_team:
        return frozenset(of_route or of_team)
    return frozenset(of_route) & frozenset(of_team)


def permits(regions: frozenset[str] | None, region: str | None) -> bool:
    """Return whether a target may serve a request.

    :param regions: the regions in which the request may be served, or ``ALL``.
    :param region: the region of the target; None if it is not known.
    """
    return regions is ALL or region in regions


def unusable(
    regions: Collection[str], regions_by_zone: dict[str, str]
) -> list[str]:
    """Return the regions in which no zone lies, sorted.

    :param regions: the regions that a route or a team allows.
    :param regions_by_zone: the region of each zone.
    """
    return sorted(set(regions) - set(regions_by_zone.values()))


def unusable_by_name(
    allowed: Iterable[tuple[str, Collection[str]]],
    regions_by_zone: dict[str, str],
) -> dict[str, list[str]]:
    """Return the regions in which no zone lies, for those that allow any.

    :param allowed: the name of each route or team and the regions it allows.
    :param regions_by_zone: the region of each zone.
    """
    found = ((name, unusable(r, regions_by_zone)) for name, r in allowed)
    return {name: regions for name, regions in found if regions}

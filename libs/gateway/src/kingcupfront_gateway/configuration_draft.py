"""A configuration as it was written, and what surrounds it.

The configuration that a gateway serves from keeps only what it needs to serve
requests. A check before publication also needs the order in which routes were
written, entries that stand twice, and teams without keys.
"""

import dataclasses

from kingcupfront_core import errors
from kingcupfront_gateway import objects


class InvalidConfigurationError(errors.BadInputError):
    """A configuration that a gateway would not load.

    :param problems: the path and the description of each error.
    """

    code = 'invalid_configuration'

    def __init__(self, problems: tuple[tuple[str, str], ...]) -> None:
        self.problems = problems
        super().__init__('; '.join(f'{path}: {m}' for path, m in problems))


@dataclasses.dataclass(frozen=True)
class TeamKeys:
    """A team and the keys of its callers."""

    team: objects.Team
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Draft:
    """A configuration as it was written.

    :param routes: the routes in their order.
    :param services: the services in their order.
    :param teams: the teams in their order; None if keys are not used.
    """

    version: int
    routes: tuple[objects.Route, ...]
    services: tuple[objects.Service, ...]
    teams: tuple[TeamKeys, ...] | None
    limits: objects.CallerLimits


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """What is known of the system that gets the configuration.

    :param regions_by_zone: the region of each data centre; None if unknown.
    :param targets: the targets that are listed; None if unknown.
    :param in_force: the configuration in force; None if unknown.
    """

    regions_by_zone: dict[str, str] | None = None
    targets: tuple[objects.Target, ...] | None = None
    in_force: Draft | None = None

    @property
    def known(self) -> frozenset[str]:
        """The names of the fields that are known."""
        names = (field.name for field in dataclasses.fields(self))
        return frozenset(n for n in names if getattr(self, n) is not None)


def route_label(route: objects.Route) -> str:
    """Return the name of a route, or where it applies if it has none."""
    return route.name or f'{route.host}{route.prefix}'


def route_subject(route: objects.Route) -> str:
    """Return the subject of findings about a route."""
    return f'route {route_label(route)}'

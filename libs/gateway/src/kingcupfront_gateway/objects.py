"""What the gateway knows of routes, services, teams and targets."""

import dataclasses
import enum

from kingcupfront_core import address


class RetryMode(enum.StrEnum):
    """What may be done with a request that may have run already.

    ``ONCE`` may never be sent again, ``SAFE`` may be repeated, and
    ``RESUME`` may go on elsewhere after the last event that arrived.
    """

    AT_MOST_ONCE = 'once'
    IDEMPOTENT = 'safe'
    RESUMABLE = 'resume'


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service that serves a part of a route's requests.

    :param service: the name of the service.
    :param weight: its part, relative to the other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix.

    :param repeat: what may be repeated.
    :param is_stream: whether answers are series of events.
    :param timeout: seconds after which the caller gets a final answer.
    :param objective: seconds within which an answer is in time.
    :param priority: the rank; 0 is the most urgent.
    :param most_runs: the most targets on which a request may run.
    """

    name: str
    host: str
    prefix: str
    retry_mode: RetryMode
    is_stream: bool
    timeout: float
    latency_objective: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_executions: int
    is_public: bool


@dataclasses.dataclass(frozen=True)
class EngineCapacity:
    """The capacity of each engine of a service.

    :param slots: requests that run at once.
    :param memory: tokens that fit into the engine's cache.
    :param tokens_per_event: tokens in one event of a stream.
    :param has_moves: whether a running generation can be moved.
    :param has_backups: whether a copy of a generation can be kept elsewhere.
    :param lease_seconds: the longest time for which capacity is reserved;
        0 if it cannot be.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int
    supports_migration: bool
    supports_backups: bool
    lease_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that targets provide; ``engine`` is None for a plain one."""

    name: str
    engine: EngineCapacity | None


@dataclasses.dataclass(frozen=True)
class Team:
    """Who holds a key."""

    name: str
    priority: int


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on callers' connections, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One published version of all objects.

    :param routes_by_host: the routes of each host, longest prefix first.
    :param teams_by_key: the holder of each key; None if keys are not used.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services_by_name: dict[str, Service]
    teams_by_key: dict[str, Team] | None
    limits: CallerLimits

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclasses.dataclass(frozen=True)
class Target:
    """One target as the directory lists it.

    :param id: the name of this start of the target.
    :param born: the Unix millisecond of its start, 0 if unknown.
    :param is_leaving: whether it takes no new work.
    :param is_cold: whether it is still slow after its start.
    """

    id: str
    service: str
    address: address.Address
    zone: str
    slots: int
    is_leaving: bool = False
    is_warming_up: bool = False
    born: int = 0


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The load of an engine as it reported it.

    :param running: requests that run.
    :param queued: requests that wait there.
    :param reading: requests that run and have made no event yet.
    :param memory_used: tokens of memory that cannot be freed.
    :param memory_of_copies: tokens of memory that copies of generations of
        other engines take.
    :param is_leaving: whether the engine said that it is leaving.
    """

    running: int
    queued: int
    reading: int
    memory_used: int
    copy_memory: int
    is_leaving: bool

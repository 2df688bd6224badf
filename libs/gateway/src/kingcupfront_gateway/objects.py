"""The gateway's configuration objects, targets and load reports."""

import dataclasses
import enum

from kingcupfront_core import address


class RetryMode(enum.StrEnum):
    """Whether a request may be retried after a possible execution.

    ``AT_MOST_ONCE`` may not be sent again, ``IDEMPOTENT`` may be retried, and
    ``RESUMABLE`` may continue elsewhere after the last received event.
    """

    AT_MOST_ONCE = 'once'
    IDEMPOTENT = 'safe'
    RESUMABLE = 'resume'


@dataclasses.dataclass(frozen=True)
class ServiceShare:
    """A service that gets a share of a route's requests.

    :param service: the name of the service.
    :param weight: its share, relative to the other weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """The rules for requests to one host and path prefix.

    :param is_stream: whether responses are streams of events.
    :param timeout: seconds after which the caller gets a final response.
    :param latency_objective: seconds within which a response is in time; for
        a stream, its first event.
    :param priority: the rank; 0 is the most urgent.
    :param max_executions: the most targets that may execute a request.
    :param is_public: whether callers need no key.
    :param allowed_regions: the regions in which requests may be served; empty
        for all.
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
    allowed_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class EngineCapacity:
    """The capacity of each engine of a service.

    :param slots: the requests that run at once.
    :param memory_tokens: the size of the KV cache.
    :param tokens_per_event: the tokens in one event of a stream.
    :param supports_migration: whether running generations can be migrated.
    :param supports_backups: whether another engine can keep a backup of a
        generation's KV cache.
    :param lease_seconds: the longest duration of a lease; 0 if the engines
        grant none.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int
    supports_migration: bool
    supports_backups: bool
    lease_seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Service:
    """A service; ``engine`` is None if its targets are no engines.

    :param warmup_seconds: how long a target is cold after its start.
    :param warmup_rate: the requests in a second that a cold target can
        handle; 0 if that is not bounded.
    """

    name: str
    engine: EngineCapacity | None
    warmup_seconds: float = 0.0
    warmup_rate: float = 0.0

    @property
    def bounds_cold_targets(self) -> bool:
        """Whether its cold targets get a bounded number of requests."""
        return self.warmup_seconds > 0 and self.warmup_rate > 0


@dataclasses.dataclass(frozen=True)
class Team:
    """The team that a key belongs to.

    :param priority: the rank; 0 is the most urgent. It goes before a route's.
    :param allowed_regions: the regions in which its requests may be served;
        empty for all.
    """

    name: str
    priority: int
    allowed_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on callers' connections, in bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One published version of all configuration objects.

    :param routes_by_host: the routes of each host, longest prefix first.
    :param teams_by_key: the team of each key; None if keys are not used.
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
    :param slots: the requests that it executes at once.
    :param is_leaving: whether it takes no new requests.
    :param is_warming_up: whether it is still slow after its start.
    :param born: the time of its start in Unix milliseconds, 0 if unknown.
    :param warmup_seconds: how long it is still slow, by its entry.
    :param sequence: the number of the entry among those of this start.
    :param software_version: the version of its software, not of its weights;
        None if it is not known.
    """

    id: str
    service: str
    address: address.Address
    zone: str
    slots: int
    is_leaving: bool = False
    is_warming_up: bool = False
    born: int = 0
    sequence: int = 0
    warmup_seconds: float = 0.0
    software_version: str | None = None


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The load that an engine reports.

    :param running: the requests that run.
    :param queued: the requests that wait in its queue.
    :param prefilling: the running requests that have produced no event yet.
    :param memory_used: the KV cache that cannot be evicted, in tokens.
    :param copy_memory: the KV cache that copies of other engines' generations
        take, in tokens.
    :param is_leaving: whether the engine announces that it leaves.
    :param born: the time of its start in Unix milliseconds, or None.
    :param running_ids: the ids of the requests that run, or None if the
        report does not say.
    """

    running: int
    queued: int
    prefilling: int
    memory_used: int
    copy_memory: int
    is_leaving: bool
    born: int | None = None
    running_ids: frozenset[str] | None = None

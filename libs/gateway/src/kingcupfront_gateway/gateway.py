"""The state of a gateway process that its tasks share."""

from collections.abc import Callable
import dataclasses
import random

import gevent
from gevent import event

from kingcupfront_core import caller_budget
from kingcupfront_core import metrics
from kingcupfront_decisions import cold_targets
from kingcupfront_decisions import crowding
from kingcupfront_decisions import evacuations
from kingcupfront_decisions import regions
from kingcupfront_decisions import software_versions
from kingcupfront_decisions import urgency
from kingcupfront_decisions import waiting_list
from kingcupfront_gateway import adapter
from kingcupfront_gateway import caller
from kingcupfront_gateway import clocks
from kingcupfront_gateway import crash_evidence
from kingcupfront_gateway import freshness
from kingcupfront_gateway import idle_timeouts
from kingcupfront_gateway import listing
from kingcupfront_gateway import objects
from kingcupfront_gateway import origin_answers
from kingcupfront_gateway import placement
from kingcupfront_gateway import pool
from kingcupfront_gateway import reply_buffers
from kingcupfront_gateway import request_record
from kingcupfront_gateway import retry_budget
from kingcupfront_gateway import stopping
from kingcupfront_gateway import targets
from kingcupfront_gateway import tasks


@dataclasses.dataclass(frozen=True)
class DirectoryView:
    """How recent the view of the directory is.

    :param age: seconds since the view was last known to be current.
    :param reachable_seconds: how long the directory has been reachable.
    """

    age: float
    reachable_seconds: float


@dataclasses.dataclass(frozen=True, eq=False)
class ActiveRequest:
    """A request that was read and has not ended.

    :param connection: the connection to its caller.
    :param task: the task that serves it.
    :param record: its times and counts.
    """

    connection: caller.CallerConnection
    task: gevent.Greenlet
    record: request_record.RequestRecord

    def end_without_response(self, error: Exception) -> None:
        """Raise an error in the task unless the response has started."""
        tasks.interrupt_if(
            self.task, lambda: self.connection.awaits_response, error
        )


class Gateway:
    """The shared state and components of one gateway process.

    :param platform: translates between the platform and the gateway.
    :param settings: the settings read at the start; :meth:`apply_settings`
        replaces them.
    """

    def __init__(
        self, platform: adapter.Adapter, settings: adapter.Settings
    ) -> None:
        self.platform = platform
        self.settings = settings
        self.settings_changed = event.Event()
        self.clock = clocks.BOOT
        self.rng = random.Random()
        self.metrics = metrics.Metrics()
        self.resume_pauses = self.metrics.histogram(
            'gateway_resume_pause_seconds',
            'Without events while a generation went on at another engine.',
        )
        self.engine_crashes = self.metrics.counter(
            'gateway_engine_crashes',
            'Requests whose engine crashed before it wrote their answer.',
        )
        self.target_silences = self.metrics.counter(
            'gateway_target_silences',
            'Targets that asked to be sent nothing for a while.',
            ('service',),
        )
        self.invalid_silence_logged_at = float('-inf')
        self.invalid_warmup_logged_at = float('-inf')
        self.cold_deferrals = self.metrics.counter(
            'gateway_cold_deferrals',
            'Sends to a cold target that were held back.',
            ('service',),
        )
        self.cold_targets = cold_targets.ColdTargets(
            str(settings.peers or settings.callers), self.clock.monotonic()
        )
        self.crash_evidence = crash_evidence.CrashEvidence(
            settings.instance, self.rng.random()
        )
        self.configuration: objects.Configuration | None = None
        # The monotonic time at which the configuration was applied, or None.
        self.configuration_applied_at: float | None = None
        self.idle_timeouts = idle_timeouts.IdleTimeouts()
        self.freshness = freshness.Freshness(settings.revocation)
        self.targets = targets.Targets(self.clock)
        self.stream_origins = software_versions.Origins()
        self.origin_exchange: origin_answers.Exchange = (
            origin_answers.NoExchange()
        )
        self.stranded_streams = self.metrics.counter(
            'gateway_stranded_streams',
            'Streams that no target of their software version could carry on.',
            ('service',),
        )
        self.evacuations = evacuations.Evacuations()
        self.metrics.gauge(
            'gateway_evacuated_zones',
            'Data centres that are being evacuated.',
            lambda: len(self.evacuations.revisions_by_zone),
        )
        self.demand = urgency.Demand()
        self.crowding = crowding.Crowding()
        self.waiting = waiting_list.WaitingLists()
        self.metrics.gauge(
            'gateway_waiting_generations',
            'Generations that wait for room on an engine.',
            lambda: self.waiting.total,
        )
        self.reply_buffers = reply_buffers.ReplyBuffers()
        self.pool = pool.ConnectionPool(self.reply_buffers)
        self._count_callers()
        self._limit_memory()
        self.listing = listing.Listing()
        self.metrics.gauge(
            'gateway_directory_era',
            'How often the directory was restored from a copy.',
            lambda: self.listing.era,
        )
        # Where changes are fetched from: 'directory' or a peer's address.
        self.directory_source = ''
        # Start of the unbroken contact with the directory; None if it is
        # unreachable.
        self.reachable_since: float | None = None
        self.shutdown: stopping.Shutdown | None = None
        # Set when the process is about to exit and accepts nothing more.
        self.is_closing = False
        self.active_requests: set[ActiveRequest] = set()
        self.tasks_by_connection: dict[
            caller.CallerConnection, gevent.Greenlet
        ] = {}
        # Closes the address for callers; set while it is open.
        self.stop_listening: Callable[[], None] = lambda: None
        origin = placement.Origin(
            settings.zone, settings.regions_by_zone.get(settings.zone, '')
        )
        self.placement = placement.Placement(
            origin, settings.regions_by_zone, self.rng
        )
        self._budgets_by_service: dict[str, retry_budget.RetryBudget] = {}

    def _count_callers(self) -> None:
        drops = self.metrics.counter(
            'gateway_caller_drops',
            'Connections of callers dropped to make room.',
            ('cause',),
        )
        self.refused_connections = self.metrics.counter(
            'gateway_refused_connections',
            'Connections of callers refused since all others are in use.',
        )
        self.caller_budget = caller_budget.CallerBudget(
            self.settings.memory_bytes,
            self.settings.descriptors,
            lambda cause: drops.inc((str(cause),)),
        )
        self.callers_address = caller_budget.Address(
            self.caller_budget, caller_budget.CALLERS_PART
        )
        self.metrics.gauge(
            'gateway_caller_bytes',
            'Held for callers: requests, and responses not yet read.',
            lambda: self.caller_budget.total,
        )

    @property
    def is_stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self.shutdown is not None

    @property
    def may_pause_streams(self) -> bool:
        """Whether streams may still go on at other engines."""
        return self.shutdown is None or self.shutdown.allows_pause(
            self.clock.monotonic()
        )

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send new connections here."""
        return (
            self.configuration is not None
            and not self.is_stopping
            and self.freshness.can_trust_keys(self.clock.monotonic())
        )

    def has_connections(self, *phases: caller.Phase) -> bool:
        """Return whether a caller's connection is in one of some phases."""
        return any(
            connection.phase in phases
            for connection in self.tasks_by_connection
        )

    def region_of(self, zone: str) -> str | None:
        """Return the region of a zone; None if the settings lack it."""
        return self.settings.regions_by_zone.get(zone)

    def unusable_regions(self) -> dict[str, dict[str, list[str]]]:
        """Return the allowed regions in which no zone lies.

        :returns: by kind and by the name of the route or team.
        """
        if self.configuration is None:
            return {}
        routes = [
            (route.name or f'{host}{route.prefix}', route.allowed_regions)
            for host, found in self.configuration.routes_by_host.items()
            for route in found
        ]
        teams = [
            (team.name, team.allowed_regions)
            for team in (self.configuration.teams_by_key or {}).values()
        ]
        regions_by_zone = self.settings.regions_by_zone
        return {
            'routes': regions.unusable_by_name(routes, regions_by_zone),
            'teams': regions.unusable_by_name(teams, regions_by_zone),
        }

    def directory_view(self) -> DirectoryView | None:
        """Return the view's age; None while the directory is unreachable."""
        if self.reachable_since is None:
            return None
        now = self.clock.monotonic()
        return DirectoryView(
            self.freshness.age(now), now - self.reachable_since
        )

    def retry_budget_for(self, service: str) -> retry_budget.RetryBudget:
        """Return the budget of repeats of a service."""
        if service not in self._budgets_by_service:
            self._budgets_by_service[service] = retry_budget.RetryBudget(
                self.settings.retry_ratio, self.settings.retry_window
            )
        return self._budgets_by_service[service]

    def apply_settings(self, settings: adapter.Settings) -> None:
        """Apply new settings; the listening addresses do not change."""
        self.settings = settings
        self._limit_memory()
        self.settings_changed.set()
        self.settings_changed.clear()
        self.freshness.revocation_seconds = settings.revocation
        for budget in self._budgets_by_service.values():
            budget.set_limits(settings.retry_ratio, settings.retry_window)

    def _limit_memory(self) -> None:
        self.caller_budget.set_limits(
            self.settings.memory_bytes, self.settings.descriptors
        )
        if self.settings.memory_bytes is not None:
            self.reply_buffers.limit = int(
                self.settings.memory_bytes * reply_buffers.MEMORY_PART
            )

    def apply_configuration(
        self, configuration: objects.Configuration
    ) -> bool:
        """Apply a configuration if its version is newer than the current one.

        :returns: whether it was applied.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        now = self.clock.monotonic()
        if current is not None:
            self.idle_timeouts.record_replaced(
                current.limits.idle_timeout, now
            )
        self.configuration = configuration
        self.configuration_applied_at = now
        self.targets.set_services(configuration.services_by_name)
        return True


@dataclasses.dataclass(frozen=True)
class Admission:
    """The route and team under which a request was admitted.

    :param team: the team of the key; None if no key is needed.
    :param version: the version of the configuration that admitted it.
    :param key: the caller's key, or None.
    :param path: the path of the request; '' for the route's prefix.
    """

    route: objects.Route
    team: objects.Team | None
    version: int
    key: str | None = None
    path: str = ''

    @property
    def rank(self) -> urgency.Rank:
        """The urgency that the configuration gives to the request."""
        return urgency.Rank(
            self.team.priority if self.team else 0, self.route.priority
        )

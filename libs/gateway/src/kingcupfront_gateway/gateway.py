"""The parts of one gateway process that its tasks share."""

import dataclasses
import random

from kingcupfront_core import metrics
from kingcupfront_gateway import adapter
from kingcupfront_gateway import clocks
from kingcupfront_gateway import freshness
from kingcupfront_gateway import listing
from kingcupfront_gateway import objects
from kingcupfront_gateway import placement
from kingcupfront_gateway import pool
from kingcupfront_gateway import retry_budget
from kingcupfront_gateway import targets


@dataclasses.dataclass(frozen=True)
class DirectoryView:
    """How recent a view of the directory is, in seconds.

    :param age: since it was known to be current.
    :param steady_seconds: since when the directory is in reach.
    """

    age: float
    reachable_seconds: float


class Gateway:
    """What one process holds.

    :param platform: translates from and to the platform.
    :param settings: what the process was told at its start; see
        :meth:`use_settings`.
    """

    def __init__(
        self, platform: adapter.Adapter, settings: adapter.Settings
    ) -> None:
        self.platform = platform
        self.settings = settings
        self.clock = clocks.BOOT
        self.rng = random.Random()
        self.metrics = metrics.Metrics()
        self.resume_pauses = self.metrics.histogram(
            'gateway_resume_pause_seconds',
            'Without events while a generation went on at another engine.',
        )
        self.configuration: objects.Configuration | None = None
        self.freshness = freshness.Freshness(settings.revocation)
        self.targets = targets.Targets()
        self.pool = pool.ConnectionPool()
        self.listing = listing.Listing()
        # Who is asked for changes: 'directory' or a peer's address.
        self.directory_source = ''
        # Since when the directory is in reach, or None.
        self.reachable_since: float | None = None
        self.stopping_since: float | None = None
        self.active_requests = 0
        origin = placement.Origin(
            settings.zone, settings.regions_by_zone.get(settings.zone, '')
        )
        self.placement = placement.Placement(
            origin, settings.regions_by_zone, self.rng
        )
        self._budgets_by_service: dict[str, retry_budget.RetryBudget] = {}

    @property
    def is_stopping(self) -> bool:
        """Whether the process was told to stop."""
        return self.stopping_since is not None

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        return (
            self.configuration is not None
            and not self.is_stopping
            and self.freshness.can_trust_keys(self.clock.monotonic())
        )

    def directory_view(self) -> DirectoryView | None:
        """Return how recent the view of the directory is, or None."""
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
        """Put settings in force; the own addresses stay as they are."""
        self.settings = settings
        self.freshness.revocation_seconds = settings.revocation
        for budget in self._budgets_by_service.values():
            budget.set_limits(settings.retry_ratio, settings.retry_window)

    def apply_configuration(
        self, configuration: objects.Configuration
    ) -> bool:
        """Put a configuration in force unless a newer one is.

        :returns: whether it is in force now.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.targets.set_services(configuration.services_by_name)
        return True


@dataclasses.dataclass(frozen=True)
class Admission:
    """A request that the configuration in force allows.

    :param version: the version that allowed it.
    """

    route: objects.Route
    team: objects.Team | None
    version: int

"""The state that the components of one entry process share."""

import dataclasses
import typing

from kingcupfront_config import in_force
from kingcupfront_config import instance_list
from kingcupfront_config import objects
from kingcupfront_config import settings
from kingcupfront_config import source
from kingcupfront_core import caller_budget
from kingcupfront_core import clock
from kingcupfront_core import metrics
from kingcupfront_entry import errors
from kingcupfront_peer import link
from kingcupfront_route import router


@dataclasses.dataclass(frozen=True)
class ActiveRequest:
    """A request in progress.

    :param id: the request's id.
    :param team: the team that sent the request.
    :param service: the service that the request is for.
    :param started_at: the monotonic second at which the request arrived.
    """

    id: str
    team: str
    service: str
    started_at: float


@dataclasses.dataclass
class State:
    """The state of one entry process.

    :param settings: the settings.
    :param clock: the clock.
    :param metrics: the metrics.
    :param in_force: the configuration in force.
    :param source: the client of the platform's services.
    :param router: the router.
    :param link: the link to other entries.
    :param budget: bounds what callers may take of the process.
    :param instances: the newest instance list.
    :param active_requests_by_id: the requests in progress.
    :param draining: whether a graceful shutdown has begun.
    :param final_response_at: the monotonic second at which a shutdown gives
        each request a final response; None without a deadline.
    :param components_by_name: the other components that the state dump
        shows, by their name there.
    """

    settings: settings.Settings
    clock: clock.Clock
    metrics: metrics.Metrics
    in_force: in_force.InForce
    source: source.Source
    router: router.Router
    link: link.Link
    budget: caller_budget.CallerBudget = dataclasses.field(
        default_factory=caller_budget.CallerBudget
    )
    instances: tuple[instance_list.Instance, ...] = ()
    active_requests_by_id: dict[str, ActiveRequest] = dataclasses.field(
        default_factory=dict
    )
    draining: bool = False
    final_response_at: float | None = None
    components_by_name: dict[str, typing.Any] = dataclasses.field(
        default_factory=dict
    )

    @property
    def ready(self) -> bool:
        """Whether load balancers should send new requests to this entry."""
        return self.in_force.current is not None and not self.draining

    @property
    def configuration(self) -> objects.ObjectSet:
        """The configuration in force.

        :raises NotReadyError: if no configuration is in force yet.
        """
        if self.in_force.current is None:
            raise errors.NotReadyError('no configuration is in force yet')
        return self.in_force.current

    def check_time_left(self, seconds: float) -> None:
        """Check that a request can end before a shutdown has to.

        :param seconds: the request's time-out in seconds; infinite if it has
            none.
        :raises DrainingError: if its time-out can end too late.
        """
        if not self.draining or self.final_response_at is None:
            return
        seconds_left = self.final_response_at - self.clock.monotonic()
        if seconds > seconds_left:
            raise errors.DrainingError(
                f'this entry shuts down in {max(0.0, seconds_left):.1f} s and'
                f' accepts no request that may take {seconds:g} s'
            )

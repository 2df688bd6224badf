"""The state that the configuration in force requires of each engine."""

from collections.abc import Iterable
import dataclasses

from kingcupfront_config import instance_list
from kingcupfront_config import objects
from kingcupfront_core import rendezvous

DEFAULT_ROLE = 'mixed'


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """The state that one engine should be in.

    :param model: the name of the model that it should have loaded.
    :param version: the version of the model's weights.
    :param adapters: the adapters that it should have loaded.
    :param role: the role that it should have; None leaves its role as it is.
    :param store: the name of the store that it reads the weights from, if
        any.
    :param weights_bytes: the size of the weights in bytes.
    :param managed_models: the names of all configured models; other models
        that an engine has loaded are not unloaded.
    """

    model: str
    version: str
    adapters: frozenset[str]
    role: str | None = None
    store: str | None = None
    weights_bytes: int = 0
    managed_models: frozenset[str] = frozenset()


def desired_states_by_engine(
    current: objects.ObjectSet, instances: Iterable[instance_list.Instance]
) -> dict[str, DesiredState]:
    """Return the desired state of each engine in the instance list by its id.

    The result depends on the arguments only, so that entries with the same
    configuration and instance list send the same orders.

    :param current: the configuration in force.
    :param instances: the instance list.
    """
    staying = [row for row in instances if not row.leaving]
    models = current.by_name('model')
    states_by_engine: dict[str, DesiredState] = {}
    for service in current.by_name('service').values():
        model = models.get(service.model)
        if service.type != 'model' or model is None:
            continue
        engines = [row.id for row in staying if row.service == service.name]
        roles = _roles(service, engines)
        for engine in engines:
            states_by_engine[engine] = DesiredState(
                model.name,
                model.version,
                frozenset(model.adapters),
                roles.get(engine),
                model.store,
                model.weights_bytes,
                frozenset(models),
            )
    return states_by_engine


def _roles(service: objects.Service, engines: list[str]) -> dict[str, str]:
    if not service.engines_by_role:
        return {}
    ranked = rendezvous.rank(f'role {service.name}', engines)
    roles = [
        role
        for role, count in sorted(service.engines_by_role.items())
        for _ in range(count)
    ]
    roles += [DEFAULT_ROLE] * (len(ranked) - len(roles))
    return dict(zip(ranked, roles, strict=False))

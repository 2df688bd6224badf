"""What the configuration in force wants of each engine."""

from collections.abc import Iterable
import dataclasses

from kingcupfront_config import instance_list
from kingcupfront_config import objects
from kingcupfront_core import rendezvous

DEFAULT_ROLE = 'mixed'


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """The state that one engine should be in.

    :param model: the model that it should hold.
    :param version: the version of the weights.
    :param adapters: the adapters that it should hold.
    :param role: its role; none leaves it as it is.
    :param store: the store that the weights come from, if any.
    :param weights_bytes: the size of the weights in bytes.
    :param managed: all models that the objects name; others that an engine
        holds are left alone.
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
    """Return what each listed engine should hold.

    It depends on nothing but its arguments, so entries that agree on them
    give the same orders.

    :param current: the configuration in force.
    :param instances: the instance list.
    """
    rows = [row for row in instances if not row.leaving]
    models = current.by_name('model')
    result: dict[str, DesiredState] = {}
    for service in current.by_name('service').values():
        model = models.get(service.model)
        if service.type != 'model' or model is None:
            continue
        engines = [row.id for row in rows if row.service == service.name]
        roles = _roles(service, engines)
        for engine in engines:
            result[engine] = DesiredState(
                model.name,
                model.version,
                frozenset(model.adapters),
                roles.get(engine),
                model.store,
                model.weights_bytes,
                frozenset(models),
            )
    return result


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

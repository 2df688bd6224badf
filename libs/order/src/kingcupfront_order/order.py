"""Orders, each of which brings an engine one step to its desired state."""

import dataclasses
import enum
import typing

from kingcupfront_order import desired_state


class Kind(enum.StrEnum):
    """The action that an order requests of an engine."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ADAPTER = 'adapter'
    VERSION = 'version'
    ROLE = 'role'


INTERRUPTING_KINDS = frozenset({Kind.UNLOAD, Kind.VERSION, Kind.ROLE})
WEIGHT_READING_KINDS = frozenset({Kind.LOAD, Kind.VERSION})


@dataclasses.dataclass(frozen=True)
class EngineState:
    """The state that an engine reports.

    :param versions_by_model: the version of each loaded model.
    :param adapters: the loaded adapters.
    :param role: its role.
    :param fencing: the highest fencing token of the orders that it has
        executed.
    :param outstanding_requests: the number of running and waiting requests.
    """

    versions_by_model: dict[str, str]
    adapters: frozenset[str] = frozenset()
    role: str = 'mixed'
    fencing: int = 0
    outstanding_requests: int = 0


@dataclasses.dataclass(frozen=True)
class Order:
    """An idempotent order to an engine.

    :param kind: the action that the engine must take.
    :param fencing: the fencing token: the revision in force at the sender.
    :param model: the name of the model to load, unload or change, if any.
    :param version: the version of the model to load, if any.
    :param adapter: the adapter to load, if any.
    :param role: the role to assume, if any.
    """

    kind: Kind
    fencing: int
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''

    @property
    def interrupts_requests(self) -> bool:
        """Whether the order ends requests in progress on the engine."""
        return self.kind in INTERRUPTING_KINDS

    @property
    def reads_weights(self) -> bool:
        """Whether the engine reads weights from a store for the order."""
        return self.kind in WEIGHT_READING_KINDS

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the body of the request to the engine."""
        fields = dataclasses.asdict(self)
        return {n: v for n, v in fields.items() if v != ''}


def next_order(
    state: EngineState, desired: desired_state.DesiredState, revision: int
) -> Order | None:
    """Return the next order to an engine, or None if it needs no order.

    An engine that has executed an order of a newer revision gets none.

    :param state: the current state of the engine.
    :param desired: the state that it should be in.
    :param revision: the revision in force.
    """
    if state.fencing > revision:
        return None
    loaded = state.versions_by_model
    for model in sorted(
        desired.managed_models & set(loaded) - {desired.model}
    ):
        return Order(Kind.UNLOAD, revision, model=model)
    if desired.model not in loaded:
        return Order(
            Kind.LOAD, revision, model=desired.model, version=desired.version
        )
    if loaded[desired.model] != desired.version:
        return Order(
            Kind.VERSION,
            revision,
            model=desired.model,
            version=desired.version,
        )
    for adapter in sorted(desired.adapters - state.adapters):
        return Order(
            Kind.ADAPTER, revision, model=desired.model, adapter=adapter
        )
    if desired.role is not None and desired.role != state.role:
        return Order(Kind.ROLE, revision, role=desired.role)
    return None

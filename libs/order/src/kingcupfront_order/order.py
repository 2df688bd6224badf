"""Orders: one difference between what an engine holds and should hold."""

import dataclasses
import enum
import typing

from kingcupfront_order import desired_state


class Kind(enum.StrEnum):
    """What an order tells an engine to do."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ADAPTER = 'adapter'
    VERSION = 'version'
    ROLE = 'role'


INTERRUPTING_KINDS = frozenset({Kind.UNLOAD, Kind.VERSION, Kind.ROLE})
WEIGHT_READING_KINDS = frozenset({Kind.LOAD, Kind.VERSION})


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine says that it holds.

    :param versions_by_model: the version of each model that is loaded.
    :param adapters: the adapters that are loaded.
    :param role: its role.
    :param fencing: the highest fencing number that it has obeyed.
    :param busy: requests that it runs or lets wait.
    """

    versions_by_model: dict[str, str]
    adapters: frozenset[str] = frozenset()
    role: str = 'mixed'
    fencing: int = 0
    outstanding_requests: int = 0


@dataclasses.dataclass(frozen=True)
class Order:
    """One idempotent order.

    :param kind: what to do.
    :param fencing: the revision in force at the sender.
    :param model: the model that it is about, if any.
    :param version: the version to load, if any.
    :param adapter: the adapter to load, if any.
    :param role: the role to take, if any.
    """

    kind: Kind
    fencing: int
    model: str = ''
    version: str = ''
    adapter: str = ''
    role: str = ''

    @property
    def interrupts_requests(self) -> bool:
        """Whether it would end requests in progress on the engine."""
        return self.kind in INTERRUPTING_KINDS

    @property
    def reads_weights(self) -> bool:
        """Whether the engine reads weights from their store for it."""
        return self.kind in WEIGHT_READING_KINDS

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the body of the request to the engine."""
        fields = dataclasses.asdict(self)
        return {n: v for n, v in fields.items() if v != ''}


def next_order(
    state: EngineState, desired: desired_state.DesiredState, revision: int
) -> Order | None:
    """Return the first thing that an engine must do, if any.

    An engine that has obeyed a newer revision gets no order.

    :param state: what it holds now.
    :param desired: the state that it should be in.
    :param revision: the revision in force.
    """
    if state.fencing > revision:
        return None
    held = state.versions_by_model
    for model in sorted(desired.managed_models & set(held) - {desired.model}):
        return Order(Kind.UNLOAD, revision, model=model)
    if desired.model not in held:
        return Order(
            Kind.LOAD, revision, model=desired.model, version=desired.version
        )
    if held[desired.model] != desired.version:
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

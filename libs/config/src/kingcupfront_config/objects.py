"""The objects that operators edit and publish."""

import functools
import typing

import pydantic

MAX_HISTORY = 128
MIN_PRIORITY = -1000
MAX_PRIORITY = 1000
NAME_PATTERN = r'^[a-z][a-z0-9-]{0,62}$'
KEY_HASH_PATTERN = r'^[0-9a-f]{64}$'
KeyHash = typing.Annotated[str, pydantic.Field(pattern=KEY_HASH_PATTERN)]
Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Latency = typing.Annotated[float, pydantic.Field(gt=0, le=10)]
Count = typing.Annotated[int, pydantic.Field(ge=0)]
Role = typing.Literal['mixed', 'prefill', 'decode']


class _Object(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    name: Name


class Place(_Object):
    """A zone in which instances run.

    :param region: places of one region are close to one another.
    :param latency_seconds_by_place: one-way latency to other places, in
        seconds.
    :param egress_price_per_gigabyte: the price of traffic that leaves the
        region, in any one currency.
    :param leaving: whether no target there gets new work.
    """

    kind: typing.Literal['place']
    region: Name
    latency_seconds_by_place: dict[Name, Latency] = {}
    egress_price_per_gigabyte: float = pydantic.Field(default=0.0, ge=0)
    leaving: bool = False


class Store(_Object):
    """A store of weights that bounds how fast engines load from it.

    :param bytes_per_second: bound on all loads together; none means no
        bound.
    :param max_loads: bound on the loads at one time.
    """

    kind: typing.Literal['store']
    bytes_per_second: float | None = pydantic.Field(default=None, gt=0)
    max_loads: int = pydantic.Field(default=1, gt=0)


class Model(_Object):
    """A model that engines load.

    :param version: the version of the weights.
    :param adapters: adapters that are loaded with it.
    :param context_tokens: bound on prompt and output together, in tokens.
    :param store: the store that holds its weights.
    :param weights_bytes: the size of its weights in bytes.
    """

    kind: typing.Literal['model']
    version: str = '1'
    adapters: tuple[Name, ...] = ()
    store: Name | None = None
    weights_bytes: int = pydantic.Field(default=0, ge=0)
    context_tokens: int = pydantic.Field(default=131_072, gt=0)


class Action(pydantic.BaseModel):
    """A kind of call to a plain service.

    :param method: the HTTP method.
    :param path: the path's prefix.
    :param repeatable: whether running it twice does no harm.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    method: typing.Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
    path: str = pydantic.Field(default='/', pattern=r'^/')
    repeatable: bool = False


class Service(_Object):
    """Something that callers ask for by name.

    :param type: a model service or a plain one.
    :param model: the model that its engines serve.
    :param policy: the policy that routes to it.
    :param checks_fencing: whether its targets refuse old fencing numbers.
    :param actions: calls with special rules; GET and HEAD are repeatable,
        all else is not unless an action says so.
    :param timeout_seconds: bound on a plain call, in seconds.
    :param engines_by_role: how many engines are wanted in each role; empty
        leaves the roles as they are.
    :param order_settle_seconds: how long an order waits for the view of
        the targets to settle, in seconds.
    :param leaving_targets: ids of targets that get no new work.
    """

    kind: typing.Literal['service']
    type: typing.Literal['model', 'plain']
    model: Name | None = None
    policy: Name | None = None
    checks_fencing: bool = False
    actions: tuple[Action, ...] = ()
    timeout_seconds: float = pydantic.Field(default=30.0, gt=0)
    engines_by_role: dict[Role, Count] = {}
    order_settle_seconds: float = pydantic.Field(default=5.0, ge=0)
    leaving_targets: tuple[str, ...] = ()


class Team(_Object):
    """A customer.

    :param key_hashes: SHA-256 of each of its API keys, in hexadecimal.
    :param services: names of the services that it may use.
    :param weight: its share under contention.
    :param max_concurrent: bound on its requests in progress everywhere.
    :param tokens_per_second: bound on its output tokens everywhere.
    :param priority: lower runs first.
    """

    kind: typing.Literal['team']
    key_hashes: tuple[KeyHash, ...] = ()
    services: tuple[Name, ...] = ()
    weight: float = pydantic.Field(default=1.0, gt=0)
    max_concurrent: int | None = pydantic.Field(default=None, gt=0)
    tokens_per_second: float | None = pydantic.Field(default=None, gt=0)
    priority: int = pydantic.Field(default=0, ge=MIN_PRIORITY, le=MAX_PRIORITY)


class Policy(_Object):
    """How requests of a service are routed.

    :param based_on: a policy whose fields hold where this one sets none.
    :param routing: a name in the registry of routing policies.
    :param favours: the measure that goes first where one costs another.
    :param queue_limit: requests that one entry lets wait.
    :param first_token_seconds: bound on the wait for the first token.
    :param retry_budget: retries as a fraction of requests.
    """

    kind: typing.Literal['policy']
    based_on: Name | None = None
    routing: str = 'headroom_v9'
    favours: typing.Literal['stalls', 'gaps'] = 'stalls'
    queue_limit: int = pydantic.Field(default=1000, ge=0)
    first_token_seconds: float = pydantic.Field(default=30.0, gt=0)
    retry_budget: float = pydantic.Field(default=0.1, ge=0, le=1)


AnyObject = typing.Annotated[
    Place | Store | Model | Service | Team | Policy,
    pydantic.Field(discriminator='kind'),
]
CLASSES_BY_KIND: dict[str, type[_Object]] = {
    'place': Place,
    'store': Store,
    'model': Model,
    'service': Service,
    'team': Team,
    'policy': Policy,
}


class Ancestor(pydantic.BaseModel):
    """A set that another one was made from.

    :param revision: its revision.
    :param digest: its digest, in hexadecimal.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    revision: int = pydantic.Field(ge=1)
    digest: KeyHash


class ObjectSet(pydantic.BaseModel):
    """A whole published set.

    :param revision: grows with each publication.
    :param based_on: the revision that the operators edited.
    :param objects: all objects.
    :param history: the sets that it was made from, the newest first.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    revision: int = pydantic.Field(ge=1)
    based_on: int = pydantic.Field(ge=0)
    objects: tuple[AnyObject, ...]
    history: tuple[Ancestor, ...] = pydantic.Field(
        default=(), max_length=MAX_HISTORY
    )

    def by_name(self, kind: str) -> dict[str, typing.Any]:
        """Return the objects of a kind by their name; do not change it.

        A policy has the fields of those that it is based on.
        """
        return self._by_kind.get(kind, {})

    @functools.cached_property
    def teams_by_key_hash(self) -> dict[str, Team]:
        """The teams by the hash of each of their keys."""
        teams = self.by_name('team').values()
        return {known: team for team in teams for known in team.key_hashes}

    @functools.cached_property
    def _by_kind(self) -> dict[str, dict[str, typing.Any]]:
        found: dict[str, dict[str, typing.Any]] = {}
        for item in self.objects:
            found.setdefault(item.kind, {})[item.name] = item
        policies = found.get('policy', {})
        found['policy'] = {n: _resolved(n, policies) for n in policies}
        return found


def _resolved(name: str, policies_by_name: dict[str, Policy]) -> Policy:
    values: dict[str, typing.Any] = {}
    seen: set[str] = set()
    current: str | None = name
    while current in policies_by_name and current not in seen:
        seen.add(current)
        item = policies_by_name[current]
        values = item.model_dump(exclude_unset=True) | values
        current = item.based_on
    return Policy.model_validate(values)

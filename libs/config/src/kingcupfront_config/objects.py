"""The objects that operators edit and publish."""

import typing

import pydantic

NAME_PATTERN = r'^[a-z][a-z0-9-]{0,62}$'
KeyHash = typing.Annotated[str, pydantic.Field(pattern=r'^[0-9a-f]{64}$')]
Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


class _Object(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    name: Name


class Place(_Object):
    """A zone in which instances run.

    :param region: places of one region are close to one another.
    """

    kind: typing.Literal['place']
    region: Name


class Model(_Object):
    """A model that engines load.

    :param version: the version of the weights.
    :param adapters: adapters that are loaded with it.
    :param context_tokens: bound on prompt and output together, in tokens.
    """

    kind: typing.Literal['model']
    version: str = '1'
    adapters: tuple[Name, ...] = ()
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
    """

    kind: typing.Literal['service']
    type: typing.Literal['model', 'plain']
    model: Name | None = None
    policy: Name | None = None
    checks_fencing: bool = False
    actions: tuple[Action, ...] = ()
    timeout_seconds: float = pydantic.Field(default=30.0, gt=0)


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
    priority: int = 0


class Policy(_Object):
    """How requests of a service are routed.

    :param routing: a name in the registry of routing policies.
    :param favours: the measure that goes first where one costs another.
    :param queue_limit: requests that one entry lets wait.
    :param first_token_seconds: bound on the wait for the first token.
    :param retry_budget: retries as a fraction of requests.
    """

    kind: typing.Literal['policy']
    routing: str = 'least_outstanding'
    favours: typing.Literal['stalls', 'gaps'] = 'stalls'
    queue_limit: int = pydantic.Field(default=1000, ge=0)
    first_token_seconds: float = pydantic.Field(default=30.0, gt=0)
    retry_budget: float = pydantic.Field(default=0.1, ge=0, le=1)


AnyObject = typing.Annotated[
    Place | Model | Service | Team | Policy,
    pydantic.Field(discriminator='kind'),
]


class ObjectSet(pydantic.BaseModel):
    """A whole published set.

    :param revision: grows with each publication.
    :param based_on: the revision that the operators edited.
    :param objects: all objects.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    revision: int = pydantic.Field(ge=1)
    based_on: int = pydantic.Field(ge=0)
    objects: tuple[AnyObject, ...]

    def by_name(self, kind: str) -> dict[str, typing.Any]:
        """Return the objects of a kind by their name."""
        return {o.name: o for o in self.objects if o.kind == kind}

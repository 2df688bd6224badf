"""Settings of one process, read from JSON with comments."""

import pathlib
import typing

import pydantic

from kingcupfront_config import errors
from kingcupfront_config import jsonc
from kingcupfront_config import tls_files
from kingcupfront_core import address
from kingcupfront_core import errors as core_errors


def _parse_address(value: typing.Any) -> address.Address:
    if isinstance(value, address.Address):
        return value
    try:
        return address.Address.parse(str(value))
    except core_errors.BadInputError as error:
        raise ValueError(str(error)) from error


AddressField = typing.Annotated[
    address.Address,
    pydantic.BeforeValidator(_parse_address),
    pydantic.PlainSerializer(str),
    pydantic.WithJsonSchema({'type': 'string', 'examples': ['10.0.0.1:80']}),
]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Listener(_Section):
    """Where a process listens.

    :param address: IP number and port; port 0 picks a free one.
    :param tls: TLS files; none means plain TCP.
    """

    address: AddressField
    tls: tls_files.Files | None = None


class Platform(_Section):
    """Where the platform's services are.

    :param kind: a name in the registry of sources.
    :param configuration: address of the configuration service.
    :param instances: address of the instance list.
    :param key: the name under which the objects are published.
    """

    kind: str = 'consul'
    configuration: AddressField
    instances: AddressField
    key: str = 'kingcupfront/objects'


class Limits(_Section):
    """What the process may take of its machine.

    :param memory_mb: its memory, in megabytes; what callers may hold of it is
        a fraction.
    :param file_descriptors: the descriptors that it may open; none takes the
        limit of the system.
    """

    memory_mb: float = pydantic.Field(default=150.0, gt=0)
    file_descriptors: int | None = pydantic.Field(default=None, gt=0)


class Logging(_Section):
    """How a process logs.

    :param format: a name in the registry of log formats.
    :param level: the lowest level that is written.
    """

    format: str = 'keyvalue'
    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Settings(_Section):
    """All settings of an entry process.

    :param instance: the instance's name in the list.
    :param place: the place where it runs.
    :param callers: the listener for callers.
    :param administration: the listener for operators.
    :param peers: the listener for other entries, TCP and UDP.
    :param platform: where the platform's services are.
    :param secrets: secrets that all entries share, oldest first.
    :param seeds: peer listeners of other entries, for when the list is
        down; the list alone is enough otherwise.
    :param logging: how to log.
    :param limits: what the process may take of its machine.
    :param drain_notice_seconds: how long to keep accepting after readiness
        went false, in seconds.
    :param drain_deadline_seconds: bound on a graceful shutdown, in seconds;
        none means no bound.
    """

    instance: str
    place: str
    callers: Listener
    administration: Listener
    peers: Listener
    platform: Platform
    secrets: tuple[pydantic.SecretStr, ...] = pydantic.Field(min_length=1)
    seeds: tuple[AddressField, ...] = ()
    logging: Logging = Logging()
    limits: Limits = Limits()
    drain_notice_seconds: float = pydantic.Field(default=5.0, ge=0)
    drain_deadline_seconds: float | None = pydantic.Field(default=None, gt=0)

    @property
    def secret_values(self) -> list[str]:
        """The shared secrets as plain text."""
        return [secret.get_secret_value() for secret in self.secrets]


def load(path: pathlib.Path) -> Settings:
    """Read settings from a file.

    :param path: the file.
    :raises ConfigError: if it cannot be read or is not valid, or if the
        files of a TLS listener cannot be used.
    """
    try:
        document = jsonc.loads(path.read_text(encoding='utf-8-sig'))
        options = Settings.model_validate(document.value)
    except OSError as error:
        raise errors.ConfigError(f'{path}: {error.strerror}') from error
    except pydantic.ValidationError as error:
        raise errors.ConfigError(
            _describe(path, error, document.lines_by_path)
        ) from error
    except jsonc.JsonSyntaxError as error:
        raise errors.ConfigError(f'{path}: {error}') from error
    except UnicodeDecodeError as error:
        raise errors.ConfigError(f'{path}: not UTF-8 text') from error
    for listener in (options.callers, options.administration, options.peers):
        if listener.tls is not None:
            tls_files.server_context(listener.tls)
    if options.peers.tls is not None:
        tls_files.client_context(options.peers.tls)
    return options


def _describe(
    path: pathlib.Path,
    error: pydantic.ValidationError,
    lines: dict[jsonc.Path, int],
) -> str:
    rows = []
    for item in error.errors(include_input=False, include_url=False):
        location = tuple(item['loc'])
        while location and location not in lines:
            location = location[:-1]
        name = '.'.join(str(part) for part in item['loc'])
        rows.append(f'{path}:{lines.get(location, 1)}: {name}: {item["msg"]}')
    return '\n'.join(rows)

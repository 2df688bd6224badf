"""What the gateway asks of the platform's adapter."""

from collections.abc import Sequence
import dataclasses
import typing

from kingcupfront_core import address
from kingcupfront_core import registry
from kingcupfront_gateway import listing
from kingcupfront_gateway import objects

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What a caller's headers say about its request.

    :param id: the id of this attempt.
    :param key: the caller's key, or None.
    :param seconds: how long the caller waits, or None if it does not say.
    :param prompt_tokens: tokens of the prompt; 0 for a plain request.
    :param most_output_tokens: the most tokens to generate.
    :param length_hint: the caller's guess of the output, in tokens.
    :param parts: ids of the prompt's parts in order.
    :param after_event: the last event that the caller has, or None.
    :param passed_on: the headers that go to the target unchanged.
    """

    id: str
    key: str | None
    seconds: float | None
    prompt_tokens: int
    max_output_tokens: int
    length_hint: int | None
    parts: tuple[str, ...]
    last_event_id: int | None
    forwarded_headers: tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class CacheCopy:
    """Where the memory of a generation lies.

    :param address: the target that is asked for the copy.
    :param handle: the name of the copy there.
    """

    address: address.Address
    handle: str


@dataclasses.dataclass(frozen=True)
class CacheTransfer:
    """The answer to a call that copies a generation's memory.

    :param handle: the name of the copy, or None if nothing was copied.
    :param has_arrived: whether the destination has it; if not, and there is
        a handle, the source keeps it.
    :param cause: the engine's answer, for logs.
    """

    handle: str | None
    is_at_destination: bool
    cause: str


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One send of a request to a target.

    :param seconds_left: how long the target may work on it.
    :param team: the name of the team, or None.
    :param backup: where a copy of the generation's memory is kept.
    :param copy: the copy from which the generation goes on.
    :param after_event: the last event that has arrived.
    :param lease: the name of the capacity that is reserved for it there.
    """

    target: objects.Target
    seconds_left: float
    team: str | None = None
    backup: objects.Target | None = None
    copy: CacheCopy | None = None
    last_event_id: int | None = None
    lease: str | None = None


@dataclasses.dataclass(frozen=True)
class ReplyMetadata:
    """What a reply's headers say.

    :param id: the attempt to which the reply belongs, or None.
    :param is_signed: whether the target vouches for the reply.
    :param not_run: whether the target states that it ran nothing.
    :param is_misdirected: whether another target has the address now.
    :param idle_seconds: how long the target keeps an idle connection.
    """

    id: str | None
    is_signed: bool
    not_run: bool
    is_misdirected: bool
    idle_seconds: float | None


@dataclasses.dataclass(frozen=True)
class DirectoryChange:
    """A change in the directory.

    Exactly one of the first two is set, or ``gone`` names a target.
    """

    configuration: objects.Configuration | None = None
    target: objects.Target | None = None
    removed_target_id: str | None = None


class JsonClient(typing.Protocol):
    """A kept connection for calls that are answered with JSON."""

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Make a call.

        :param timeout: seconds until the whole answer must be in.
        :returns: the status and the decoded body.
        """


@dataclasses.dataclass(frozen=True)
class Settings:
    """What a process is told at its start.

    Durations are in seconds.

    :param revocation: after this a key that was taken away must not work.
    :param drain_grace: the time between SIGTERM and SIGKILL.
    :param peers: where other gateways ask this one; None if it has no peers.
    :param seeds: where some gateways listen for others, perhaps not any more.
    :param peer_secret: what gateways sign their messages to one another with.
    :param retry_ratio: repeats allowed for each request to a service.
    :param retry_window: the span over which repeats are counted.
    """

    instance: str
    zone: str
    regions_by_zone: dict[str, str]
    callers: address.Address
    readiness: address.Address
    metrics: address.Address | None
    directory: address.Address
    revocation: float
    drain_grace: float
    retry_ratio: float
    retry_window: float
    peers: address.Address | None = None
    seeds: tuple[address.Address, ...] = ()
    peer_secret: str = ''


class Adapter(typing.Protocol):
    """Translates between a platform and the gateway."""

    ready_path: str

    def settings(self) -> Settings:
        """Read the settings."""

    def read_request(
        self, method: str, path: str, headers: Headers
    ) -> RequestMetadata:
        """Read a caller's headers."""

    def request_headers(
        self, metadata: RequestMetadata, attempt: Attempt
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a send."""

    def read_reply(self, status: int, headers: Headers) -> ReplyMetadata:
        """Read a target's headers."""

    def read_directory(
        self, client: JsonClient
    ) -> tuple[int, list[listing.Entry]]:
        """Read the whole directory.

        :returns: the revision after which changes are followed, and entries.
        """

    def read_changes(
        self, client: JsonClient, revision: int, wait: float
    ) -> tuple[int, list[listing.Entry]]:
        """Wait for changes after a revision."""

    def decode_entry(self, entry: listing.Entry) -> DirectoryChange | None:
        """Decode an entry; None if it is nothing that a gateway needs."""

    def transfer_cache(
        self,
        client: JsonClient,
        request_id: str,
        to: objects.Target,
        *,
        is_last: bool,
        timeout: float,
    ) -> CacheTransfer:
        """Copy a generation's memory to another engine.

        :param caller: a connection to the engine that runs it.
        :param is_last: whether the generation is stopped first.
        """

    def read_report(self, client: JsonClient) -> objects.LoadReport:
        """Ask an engine for its load."""

    def reserve(
        self, client: JsonClient, tokens: int, seconds: float
    ) -> str | None:
        """Reserve a place and memory at an engine.

        :param tokens: the memory.
        :param seconds: how long an unused reservation lasts.
        :returns: the name of the lease, or None if there is no room.
        """

    def release(self, client: JsonClient, lease: str) -> None:
        """Free what a lease that was not used reserves."""


adapters: registry.Registry[type[Adapter]] = registry.Registry('platform')

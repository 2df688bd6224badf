"""The interface between the gateway and the adapter of a platform."""

from collections.abc import Sequence
import dataclasses
import pathlib
import typing

from kingcupfront_core import address
from kingcupfront_core import registry
from kingcupfront_gateway import configuration_draft
from kingcupfront_gateway import listing
from kingcupfront_gateway import objects
from kingcupfront_gateway import part_records

Headers = Sequence[tuple[bytes, bytes]]
# Callers choose the parts of a prompt; further ones are not looked at.
MAX_SHARED_PARTS = 16


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """The metadata that a caller sends in the headers of its request.

    :param request_id: the id of the request, the same for all its attempts.
    :param key: the caller's API key, or None.
    :param timeout_seconds: how long the caller waits for the response, or
        None if it does not say.
    :param prompt_tokens: the length of the prompt; 0 for a plain request.
    :param max_output_tokens: the most tokens to generate.
    :param length_hint: the caller's estimate of the output, in tokens.
    :param prompt_part_ids: the ids of the prompt's parts in order.
    :param last_event_id: the last event that the caller has received, or
        None.
    :param forwarded_headers: the headers that are sent to the target
        unchanged.
    :param resumed_request_id: the request that brought the first event of the
        stream that is taken up again, or None.
    :param invalid_last_event: what the caller names as its last event, if it
        cannot be read.
    """

    request_id: str
    key: str | None
    timeout_seconds: float | None
    prompt_tokens: int
    max_output_tokens: int
    length_hint: int | None
    prompt_part_ids: tuple[str, ...]
    last_event_id: int | None
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    resumed_request_id: str | None = None
    invalid_last_event: str = ''

    @property
    def shared_part_names(self) -> tuple[str, ...]:
        """The names of the parts that other requests may have too.

        The last part belongs to the request or its session alone.
        """
        part_ids = self.prompt_part_ids[:-1][:MAX_SHARED_PARTS]
        return tuple(map(part_records.part_name, part_ids))

    @property
    def shared_parts_summary(self) -> str:
        """The names of the shared parts for logs, bounded in length."""
        return ','.join(self.shared_part_names)


@dataclasses.dataclass(frozen=True)
class CacheCopy:
    """A copy of a generation's KV cache.

    :param address: the engine from which the copy is read.
    :param handle: the name of the copy at that engine.
    """

    address: address.Address
    handle: str


@dataclasses.dataclass(frozen=True)
class CacheTransfer:
    """The result of a call that copies a generation's KV cache.

    :param handle: the name of the copy, or None if nothing was copied.
    :param is_at_destination: whether the destination holds the copy. If it
        does not and there is a handle, the source holds it.
    :param is_refused: whether the engine has done nothing of what was asked.
    :param run_has_ended: whether the engine no longer runs the generation.
    :param cause: the engine's answer, for logs.
    """

    handle: str | None
    is_at_destination: bool
    is_refused: bool
    run_has_ended: bool
    cause: str


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt to have a target execute a request.

    :param seconds_left: how long the target may work on it.
    :param team: the name of the team, or None.
    :param backup: the engine that keeps a backup of the KV cache, or None.
    :param copy: the copy of the KV cache from which the generation
        continues, or None to start it.
    :param last_event_id: the last event that the gateway has received, or
        None.
    :param lease: the name of the lease of capacity at the target, or None.
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
    """The metadata that a target sends in the headers of its reply.

    :param request_id: the request that the reply answers, or None.
    :param is_signed: whether the reply carries the target's signature.
    :param not_executed: whether the target states that it executed nothing.
    :param is_misdirected: whether another target has the address now.
    :param idle_seconds: how long the target keeps an idle connection, or
        None if it does not say.
    :param is_leaving: whether the target says that it leaves.
    :param silence_seconds: for how long the target asks to be sent nothing,
        or None if it does not.
    :param invalid_silence: the request for silence, if it cannot be read.
    :param warmup_seconds: for how long the target says that it is cold, or
        None if it does not say.
    :param invalid_warmup: that statement, if it cannot be read.
    :param has_refusal_status: whether callers take its status for the promise
        that the request was not executed and will not be.
    """

    request_id: str | None
    is_signed: bool
    not_executed: bool
    is_misdirected: bool
    idle_seconds: float | None
    is_leaving: bool = False
    silence_seconds: float | None = None
    invalid_silence: str = ''
    warmup_seconds: float | None = None
    invalid_warmup: str = ''
    has_refusal_status: bool = False

    @property
    def is_unproven_refusal(self) -> bool:
        """Whether its status promises more than the target states."""
        return self.has_refusal_status and not self.not_executed


@dataclasses.dataclass(frozen=True)
class DirectoryChange:
    """A change in the directory of one kind.

    :param evacuated_zone: the data centre whose evacuation starts or ends.
    :param is_evacuation_over: whether that evacuation ends.
    """

    configuration: objects.Configuration | None = None
    target: objects.Target | None = None
    removed_target_id: str | None = None
    evacuated_zone: str | None = None
    is_evacuation_over: bool = False


@dataclasses.dataclass(frozen=True)
class DirectoryEra:
    """The era that a response of the directory names.

    :param number: the era, or None if the response names none.
    :param invalid: the value, if it is not an era.
    """

    number: int | None
    invalid: str = ''


class JsonClient(typing.Protocol):
    """A client for calls whose answers are JSON."""

    def call(
        self, method: str, path: str, *, timeout: float, body: object = None
    ) -> tuple[int, typing.Any]:
        """Make a call.

        :param timeout: seconds within which the answer must be complete.
        :returns: the status and the decoded body.
        """


@dataclasses.dataclass(frozen=True)
class Settings:
    """The settings that a process reads when it starts.

    Durations are in seconds.

    :param callers: the address that is opened to callers.
    :param revocation: how soon a revoked key must stop working.
    :param drain_grace: the time between SIGTERM and SIGKILL.
    :param peers: the address that is opened to other gateways; None if there
        are none.
    :param seeds: addresses at which other gateways may listen; some may be
        out of date.
    :param peer_secret: the secret that signs messages between gateways.
    :param retry_ratio: the retries allowed per request to a service.
    :param retry_window: the window in which retries are counted.
    :param memory_bytes: the memory that the process may take; None if the
        platform states no limit.
    :param warmup_overrun: the factor by which all gateways together may exceed
        what a cold target can handle.
    :param warmup_slack: the requests in a second beyond that factor.
    :param descriptors: the file descriptors that the process may open; None
        if the platform states no limit.
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
    memory_bytes: int | None = None
    warmup_overrun: float = 1.5
    warmup_slack: float = 5.0
    descriptors: int | None = None


class Adapter(typing.Protocol):
    """Translates between a platform's protocol and the gateway's types."""

    ready_path: str

    def settings(self, path: pathlib.Path | None = None) -> Settings:
        """Read the settings of the process.

        :param path: the file to read; None for that of the environment.
        """

    def read_request(
        self, method: str, path: str, headers: Headers
    ) -> RequestMetadata:
        """Decode the headers of a caller's request."""

    def request_headers(
        self, metadata: RequestMetadata, attempt: Attempt
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an attempt."""

    def read_reply(self, status: int, headers: Headers) -> ReplyMetadata:
        """Decode the headers of a target's reply."""

    def read_era(self, headers: Headers) -> DirectoryEra:
        """Decode the era in the headers of a response of the directory."""

    def read_directory(
        self, client: JsonClient
    ) -> tuple[int, list[listing.Entry]]:
        """Read all entries of the directory.

        :returns: the revision after which to read changes, and the entries.
        """

    def read_changes(
        self, client: JsonClient, revision: int, wait: float
    ) -> tuple[int, list[listing.Entry]]:
        """Wait for changes after a revision.

        :param wait: seconds after which to return if nothing changed.
        :returns: the newest revision, and the entries that changed.
        """

    def decode_entry(self, entry: listing.Entry) -> DirectoryChange | None:
        """Decode an entry; None if the gateway does not use its kind."""

    def read_draft(self, text: bytes) -> configuration_draft.Draft:
        """Decode a configuration that is to be checked, as at load.

        :raises InvalidConfigurationError: if it would not be loaded.
        """

    def configuration_text(
        self, entries: Sequence[listing.Entry]
    ) -> bytes | None:
        """Return the configuration among entries; None if there is none."""

    def transfer_cache(
        self,
        client: JsonClient,
        request_id: str,
        to: objects.Target,
        *,
        is_last: bool,
        timeout: float,
    ) -> CacheTransfer:
        """Copy a generation's KV cache to another engine.

        :param client: a connection to the engine that runs the generation.
        :param to: the engine that gets the copy.
        :param is_last: whether the generation is stopped before the copy.
        """

    def read_report(self, client: JsonClient) -> objects.LoadReport:
        """Request an engine's report of its load."""

    def reserve(
        self, client: JsonClient, tokens: int, seconds: float
    ) -> str | None:
        """Reserve a slot and KV cache at an engine.

        :param tokens: the size of the KV cache.
        :param seconds: how long an unused lease lasts.
        :returns: the name of the lease, or None if the engine is full.
        """

    def release(self, client: JsonClient, lease: str) -> None:
        """Free the capacity of a lease that was not used."""


adapters: registry.Registry[type[Adapter]] = registry.Registry('platform')

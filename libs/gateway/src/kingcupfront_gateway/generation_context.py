"""The state of one generation that its parts share."""

import dataclasses

from kingcupfront_decisions import software_versions
from kingcupfront_gateway import adapter
from kingcupfront_gateway import caller
from kingcupfront_gateway import gateway
from kingcupfront_gateway import migration as migrations
from kingcupfront_gateway import objects
from kingcupfront_gateway import progress as progresses
from kingcupfront_gateway import prompt_guard
from kingcupfront_gateway import request_record
from kingcupfront_gateway import targets


@dataclasses.dataclass(eq=False)
class GenerationContext:
    """What is known of a generation while it is served.

    :param process: the shared state of the process.
    :param connection: the connection to the caller.
    :param request: the caller's request.
    :param metadata: the metadata from its headers.
    :param record: the times and counts of the request.
    :param admitted: its admission, which is renewed before each retry.
    :param guard: decides whether its prompt may go to an engine.
    :param progress: the events that all engines have produced.
    :param expected_output_tokens: the expected length of the output.
    :param tried_ids: the engines of failed attempts.
    :param response_started: whether the caller has the head of the response.
    :param backup: the engine that keeps a backup of the KV cache, or None.
    :param migration: the migration in progress, or None.
    :param recorded_begun: how the stream began, as it was known then; None
        before its first event.
    """

    process: gateway.Gateway
    connection: caller.CallerConnection
    request: caller.Request
    metadata: adapter.RequestMetadata
    record: request_record.RequestRecord
    admitted: gateway.Admission
    guard: prompt_guard.PromptGuard
    progress: progresses.Progress
    expected_output_tokens: int
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    response_started: bool = False
    backup: targets.TargetState | None = None
    migration: migrations.Migration | None = None
    recorded_begun: software_versions.Begun | None = None

    @property
    def begun(self) -> software_versions.Begun | None:
        """How the stream began; None before its first event."""
        return self.process.targets.checked(self.recorded_begun)

    @property
    def route(self) -> objects.Route:
        return self.admitted.route

    @property
    def memory_tokens(self) -> int:
        return self.metadata.prompt_tokens + max(
            self.expected_output_tokens, self.progress.forwarded_tokens
        )

    @property
    def has_executions_left(self) -> bool:
        return (
            self.route.retry_mode is not objects.RetryMode.AT_MOST_ONCE
            and self.record.possible_executions < self.route.max_executions
            and self.guard.may_repeat
        )

    def cancel_migration(self) -> None:
        """Cancel the migration in progress, if any."""
        if self.migration is not None:
            self.migration.cancel()

"""The software versions that began streams which callers may take up."""

import logging

from kingcupfront_decisions import software_versions
from kingcupfront_gateway import adapter
from kingcupfront_gateway import bounded_names
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import generation_context
from kingcupfront_gateway import objects
from kingcupfront_gateway import origin_answers

LOG = logging.getLogger(__name__)

# A caller takes a stream up within the time-out of its route. The margin
# covers the time in which instances learn of a target.
KNOWLEDGE_MARGIN_SECONDS = 2.0
# Without changes a view of the directory is not older, also one fetched from a
# peer.
MAX_VIEW_AGE_SECONDS = 2.7
# Another instance may know the version as soon as it can be reached.
UNREACHED_RETRY_SECONDS = 0.3
MAX_NAME_CHARACTERS = 200


def stream_name(request_id: str) -> str:
    """Return the name under which a stream is recorded and told.

    :param request_id: the request that brought its first event.
    """
    return bounded_names.shorten(request_id, MAX_NAME_CHARACTERS)


def record(
    process: gateway.Gateway,
    context: generation_context.GenerationContext,
    begun: software_versions.Begun,
) -> None:
    """Record how a stream began, if its caller may take it up."""
    if context.route.retry_mode is not objects.RetryMode.RESUMABLE:
        return
    metadata = context.metadata
    request_id = metadata.request_id
    if metadata.last_event_id is not None:
        request_id = metadata.resumed_request_id
    if request_id is None:
        return
    stream_id = stream_name(request_id)
    now = process.clock.monotonic()
    process.stream_origins.record(stream_id, begun, now)
    since = now - software_versions.ORIGIN_SECONDS
    services = {share.service for share in context.route.shares}
    if len(process.targets.versions.versions_of(services, since)) > 1:
        process.origin_exchange.publish(stream_id, begun)


def find(
    process: gateway.Gateway,
    metadata: adapter.RequestMetadata,
    route: objects.Route,
) -> software_versions.Begun:
    """Return how a stream that a caller takes up began.

    :raises RefusedError: if that is not known; another version might carry it
        on otherwise.
    """
    services = sorted({share.service for share in route.shares})
    window = route.timeout + KNOWLEDGE_MARGIN_SECONDS
    request_id = metadata.resumed_request_id
    stream_id = None if request_id is None else stream_name(request_id)
    now = process.clock.monotonic()
    begun, source = None, 'memory'
    if stream_id is not None:
        begun = process.stream_origins.find(stream_id, now)
    are_all_asked = True
    if begun is None:
        answers = process.origin_exchange.ask(stream_id, services, window)
        begun, source = answers.begun, 'peer'
        are_all_asked = answers.is_complete
        if begun is None:
            begun = _sole_version(process, services, window, answers)
            source = 'sole_version'
    begun = process.targets.checked(begun)
    is_known = begun is not None and begun.version is not None
    LOG.info(
        'stream_taken_up',
        extra={
            'request': metadata.request_id,
            'resumes': stream_id,
            'last_event': metadata.last_event_id,
            'software_version': begun.version if is_known else None,
            'source': source if is_known else '',
            'age': round(process.freshness.age(now), 2),
            'seconds': round(process.clock.monotonic() - now, 3),
        },
    )
    if is_known:
        return begun
    raise errors.RefusedError(
        503,
        'unknown_software_version',
        None if are_all_asked else UNREACHED_RETRY_SECONDS,
    )


def _sole_version(
    process: gateway.Gateway,
    services: list[str],
    window: float,
    answers: origin_answers.Answers,
) -> software_versions.Begun | None:
    """Return the only version that can have begun a stream, if known.

    The view of this gateway may lack a version that has just been listed, so
    it does not count without an answer of another one.

    :param answers: what other gateways say.
    """
    told = answers.sole
    if answers.is_mixed or not answers.has_answer:
        return None
    own = sole_version(process, services, window)
    if own is not None and told is not None and own != told:
        return None
    if own is not None or told is None:
        return own
    since = process.clock.monotonic() - window
    known = process.targets.versions.versions_of(services, since)
    return told if known <= {told.version} else None


def sole_version(
    process: gateway.Gateway, services: list[str], window: float
) -> software_versions.Begun | None:
    """Return the one version that has served for a while, if that is known.

    :param window: for how long, in seconds.
    """
    now = process.clock.monotonic()
    since = now - window
    listed_since = process.targets.listed_since
    if listed_since is None or listed_since > since:
        return None
    if process.freshness.age(now) > MAX_VIEW_AGE_SECONDS:
        return None
    return process.targets.versions.sole_version(services, since, now)

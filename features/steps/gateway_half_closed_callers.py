"""Steps for callers that close their side of a connection, or do not read."""

import socket
from unittest import mock

import behave
import gevent

from features.support import caller_lines
from features.support import platform_site
from kingcupfront_gateway import caller

SECONDS_BY_WHEN = {'right after': 0.0, '0.3 s after': 0.3}
PART_SIZES = {'head': 60, 'body': -3}
# A whole response of 8 MB is to be read within a second.
BYTES_PER_SECOND = 8_000_000


def _open(context):
    context.caller = caller_lines.Caller(
        context.stack, tuple(context.site.settings.callers)
    )
    return context.caller


@behave.given('engines that are full')
def full_engines(context):
    for engine in context.site.targets.values():
        engine.is_full = True


@behave.given('targets that turn requests away after {seconds:f} seconds')
def refusing_targets(context, seconds):
    def refuse(target, sock, wire, fields):
        gevent.sleep(seconds)
        attempt = fields['kingcupfront-attempt-id']
        own = {
            'Kingcupfront-Attempt-Id': attempt,
            'Kingcupfront-Not-Executed': '1',
        }
        return target._send(sock, wire, 503, own, b'')

    for target in context.site.targets.values():
        target.serve_request = refuse.__get__(target)


@behave.when(
    'a caller half-closes its side {when} a request to route "{route}"'
)
def half_closes(context, when, route):
    opened = _open(context)
    opened.send(caller_lines.request(context.site, route))
    gevent.sleep(SECONDS_BY_WHEN[when])
    opened.sock.shutdown(socket.SHUT_WR)


@behave.when('a caller half-closes its side within the {part} of a request')
def half_closes_within(context, part):
    opened = _open(context)
    data = caller_lines.request(context.site, 'once')
    opened.send(data[: PART_SIZES[part]])
    gevent.sleep(0.1)
    opened.sock.shutdown(socket.SHUT_WR)


@behave.then('the half-closed caller gets {answer}')
def gets_answer(context, answer):
    expected = answer.replace('no response', 'none')
    found = context.caller.read()
    assert found.summary == expected, found


@behave.then('the request came to {count:d} target')
def came_to(context, count):
    seen = [t.id for t in context.site.targets.values() for _ in t.seen]
    assert len(seen) == count, seen


@behave.then(
    'the gateway counts {count:d} requests as unanswered while {stage}'
)
def counted(context, count, stage):
    counters = platform_site.dump(context.site)['metrics']['counters']
    found = {
        name: value
        for name, value in counters.items()
        if name.startswith('gateway_unanswered_requests')
    }
    assert sum(found.values()) == count, found
    assert all(f'{{{stage},' in name for name in found), found


@behave.when('a caller does not read its response for {seconds:d} seconds')
def does_not_read(context, seconds):
    with mock.patch.object(caller, 'MIN_BYTES_PER_SECOND', BYTES_PER_SECOND):
        opened = _open(context)
        opened.send(caller_lines.request(context.site, 'once'))
        gevent.sleep(seconds)
    context.found = opened.read()


@behave.then(
    'the caller has a part of the response, and the connection is closed'
)
def has_part(context):
    assert context.found.summary == '200 cut', context.found.summary

"""Steps for the translation between the platform and the gateway."""

import json
import os
import pathlib
import re
import tempfile
from unittest import mock

import behave
import pydantic

from features.support import platform_server
from kingcupfront_core import errors
from kingcupfront_platform import configuration
from kingcupfront_platform import headers
from kingcupfront_platform import servers
from kingcupfront_platform import settings

ROOT = pathlib.Path(__file__).parents[2]
PLATFORM_NAMES = re.compile(
    r'Kingcupfront-(?:Attempt|Deadline|Expect|Not-Exec|Prefix|Token|Server'
    r'|Kv|Pin|Retention|Priority|Weight|Length)|Kv-From|/v1/(?:kv-|report'
    r'|hold-|readyz)|op/config|non_idempotent|(?-i:max_attempts)'
    r'|KINGCUPFRONT_SETT|Store-Era|Kingcupfront-Warmup',
    re.IGNORECASE,
)
SETTINGS = """
node_name = "edge-1"
zone = "a"
ip = "127.0.0.1"
[zones]
a = "r"
[listen]
frontend = "127.0.0.1:8740"
readiness = "127.0.0.1:8749"
[bounds]
revoke_ms = 4000
[platform]
address = "127.0.0.1:8742"
"""
SETTINGS_FILES = {
    'is complete': SETTINGS,
    'has unknown fields': 'new_field = [1, 2]\n' + SETTINGS,
    'lacks the bounds': SETTINGS.replace('[bounds]\nrevoke_ms = 4000\n', ''),
    'lacks the store': SETTINGS.partition('[platform]')[0],
    'is not TOML': 'node_name = = 1',
    'has a host name as an address': SETTINGS.replace(
        '127.0.0.1:8740', 'localhost:8740'
    ),
    'does not exist': None,
}


def _route(**fields):
    route = {
        'name': 'r',
        'host': 'one.example',
        'prefix': '/a/',
        'route_type': 'idempotent',
        'timeout_ms': 1000,
        'service': 's',
    } | fields
    return {name: value for name, value in route.items() if value is not None}


def _read(*routes):
    return configuration.read(
        json.dumps({'version': 1, 'routes': routes}).encode()
    )


@behave.when('the platform\'s route has "{kind}" and resume "{resume}"')
def route_kind(context, kind, resume):
    configuration_read = _read(
        _route(route_type=kind, stream_resume=resume == 'yes')
    )
    context.route = configuration_read.find_route('one.example', '/a/x')


@behave.then('the gateway\'s route repeats "{repeat}" and streams "{streams}"')
def route_repeats(context, repeat, streams):
    assert context.route.retry_mode == repeat
    assert context.route.is_stream == (streams == 'yes')


@behave.when(
    "the platform's route is split {first:d} to {second:d} with a timeout of "
    '{timeout:d} ms and a target latency of {objective:d} ms'
)
def split_route(context, first, second, timeout, objective):
    parts = [
        {'service': 's1', 'weight': first},
        {'service': 's2', 'weight': second},
    ]
    configuration_read = _read(
        _route(
            service=None,
            backends=parts,
            timeout_ms=timeout,
            target_latency_ms=objective,
        )
    )
    context.route = configuration_read.find_route('one.example', '/a/x')


@behave.then(
    "the gateway's route has shares of {first:d} and {second:d}, a timeout of "
    '{timeout:f} s and an objective of {objective:f} s'
)
@behave.then(
    "the gateway's route has shares of {first:d} and {second:d}, a timeout of "
    '{timeout:d} s and an objective of {objective:f} s'
)
def split_read(context, first, second, timeout, objective):
    assert [s.weight for s in context.route.shares] == [first, second]
    assert context.route.timeout == timeout
    assert context.route.latency_objective == objective


@behave.given('the platform\'s routes "{prefixes}" of host "{host}"')
def routes(context, prefixes, host):
    context.configuration_read = _read(
        *(_route(host=host, prefix=p, name=p) for p in prefixes.split())
    )


@behave.then('host "{host}" and path "{path}" select "{prefix}"')
def selects(context, host, path, prefix):
    route = context.configuration_read.find_route(host, path)
    assert (route.prefix if route else 'none') == prefix


@behave.when('a caller sends the platform\'s header "{name}" with "{value}"')
def caller_header(context, name, value):
    fields = [
        (b'Kingcupfront-Attempt-Id', b'x'),
        (name.encode(), value.encode()),
    ]
    context.ask = headers.read_request(fields)


@behave.then('the request\'s {field} is "{value}"')
def ask_field(context, field, value):
    found = getattr(context.ask, field)
    assert str(found) == value, found


@behave.when(
    'a server replies {status:d} with the platform\'s header "{name}"'
)
def reply(context, status, name):
    context.facts = headers.read_reply(status, [(name.encode(), b'1')])


@behave.then('the reply is signed "{signed}" and not run "{not_run}"')
def reply_facts(context, signed, not_run):
    assert context.facts.is_signed == (signed == 'yes')
    assert context.facts.not_executed == (not_run == 'yes')


@behave.then('the reply is an unproven refusal "{unproven}"')
def unproven_refusal(context, unproven):
    assert context.facts.is_unproven_refusal == (unproven == 'yes')


@behave.when('the entry of a server has {field} {value}')
def server_entry(context, field, value):
    entry = platform_server.Server('s-1').entry(address='127.0.0.1:80')
    if value == 'missing':
        del entry[field]
    else:
        entry[field] = json.loads(value)
    context.entry = json.dumps(entry).encode()


@behave.then('the entry names a server')
def names_server(context):
    assert servers.read_entry('s-1', context.entry).id == 's-1'


@behave.then('the entry names no server')
def names_no_server(context):
    try:
        found = servers.read_entry('s-1', context.entry)
    except pydantic.ValidationError:
        return
    raise AssertionError(found)


@behave.when('a model server reports {report}')
def report(context, report):
    try:
        context.report = servers.read_report(json.loads(report))
        context.outcome = 'accepted'
    except pydantic.ValidationError:
        context.outcome = 'rejected'


@behave.then('the report counts {count:d} runs in prefill')
def runs_in_prefill(context, count):
    assert context.report.prefilling == count, context.report


@behave.when(
    'a model server responds to a reservation with status {status:d} and body '
    '{body}'
)
def reserved(context, status, body):
    try:
        context.lease = servers.read_reserved(status, json.loads(body))
    except pydantic.ValidationError:
        context.lease = 'rejected'


@behave.then('the lease is {lease}')
def is_lease(context, lease):
    assert str(context.lease or 'none') == lease, context.lease


@behave.then('the report is {outcome}')
@behave.then('the settings are {outcome}')
def has_outcome(context, outcome):
    assert context.outcome == outcome


@behave.when("the platform's settings file {kind}")
def settings_file(context, kind):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'node.toml')
        if SETTINGS_FILES[kind] is not None:
            path.write_text(SETTINGS_FILES[kind])
        named = {settings.PATH_VARIABLE: str(path)}
        with mock.patch.dict(os.environ, named):
            try:
                settings.read()
                context.outcome = 'accepted'
            except errors.BadInputError as error:
                assert str(path) in str(error)
                context.outcome = 'rejected'


@behave.then('no source outside the adapter contains a name of the platform')
def names_only_in_adapter(context):
    found = [
        f'{path}: {match.group()}'
        for path in sorted(ROOT.glob('libs/*/src/**/*.py'))
        for match in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not found, found

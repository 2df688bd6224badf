"""Steps for the bodies of callers' requests."""

import io
from unittest import mock

import behave
import bottle

from kingcupfront_config import objects
from kingcupfront_core import errors
from kingcupfront_entry import services

SERVICE = objects.Service(kind='service', name='register', type='plain')


def read(data, declared):
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/services/register/lots',
        'CONTENT_LENGTH': str(declared),
        'wsgi.input': io.BytesIO(data),
    }
    bottle.request.bind(environ)
    return services._parse_call(SERVICE, 'north', 'lots')


@behave.when(
    'an action\'s body of {size:d} bytes is read while no '
    'temporary file can be created'
)
def read_without_file(context, size):
    fault = AssertionError('a temporary file was created')
    with mock.patch('bottle.NamedTemporaryFile', side_effect=fault):
        context.call = read(b'x' * size, size)


@behave.then('the body of the action has {size:d} bytes')
def has_size(context, size):
    assert len(context.call.body) == size


@behave.when('an action\'s body that is over the limit is read')
def read_large(context):
    size = services.MAX_BODY_BYTES + 1
    context.code = failure(b'x' * size, size)


@behave.when('an action\'s body that ends before its declared length is read')
def read_short(context):
    context.code = failure(b'x' * 10, 20)


def failure(data, declared):
    try:
        read(data, declared)
    except errors.KingcupfrontError as error:
        return error.code
    return None


@behave.then('reading the body fails with "{code}"')
def fails(context, code):
    assert context.code == code, context.code

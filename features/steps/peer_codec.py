"""Steps for frames between entry processes."""

import dataclasses

import behave
import hypothesis
from hypothesis import strategies

from kingcupfront_core import errors as core_errors
from kingcupfront_peer import codec
from kingcupfront_peer import heartbeat_message
from kingcupfront_peer import link
from kingcupfront_peer import replay

FUZZ = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)


def frame(secret='one', **changes):
    message = link.Link('entry-1', codec.Codec(['one'])).build_message(
        'ping', b'x'
    )
    message = dataclasses.replace(message, **changes)
    return codec.Codec([secret]).encode(message)


def versioned(number):
    envelope = codec.schema.Envelope.new_message(
        version=number, sender='entry-1', incarnation=1, number=1, kind='ping'
    )
    payload = envelope.to_bytes()
    return codec._tag(b'one', payload) + payload


def flipped():
    data = bytearray(frame())
    data[-3] ^= 4
    return bytes(data)


FRAMES_BY_FAULT = {
    'empty': lambda: [b''],
    'truncated': lambda: [frame()[:-5]],
    'oversized': lambda: [frame() + bytes(codec.MAX_FRAME_BYTES)],
    'signed by another secret': lambda: [frame('two')],
    'changed in one bit': lambda: [flipped()],
    'of schema version 0': lambda: [versioned(0)],
    'of schema version 9': lambda: [versioned(9)],
    'received twice': lambda: [frame(number=5)] * 2,
    'older than the window': lambda: [
        frame(incarnation=3, number=replay.WINDOW_NUMBERS + 1),
        frame(incarnation=3, number=1),
    ],
    'for another process': lambda: [frame(audience=77)],
}


@behave.when('a peer frame is {fault}')
def send_frame(context, fault):
    receiver = link.Link('entry-2', codec.Codec(['one']))
    context.error = None
    frames = FRAMES_BY_FAULT[fault]()
    for item in frames:
        assert context.error is None
        try:
            receiver.accept(item)
        except core_errors.KingcupfrontError as error:
            context.error = error


@behave.then('the peer frame is refused as "{code}"')
def frame_refused(context, code):
    assert context.error is not None
    assert context.error.code == code, context.error


@behave.then('the peer frame is accepted')
def frame_accepted(context):
    assert context.error is None, context.error


@behave.given('a codec that signs with the second of two secrets')
def two_secrets(context):
    item = codec.Message('entry-1', 1, 1, 'ping')
    context.frame = codec.Codec(['old', 'new']).encode(item)


@behave.then('its frames are read under either list that holds the second')
def read_rotated(context):
    for known in (['new'], ['new', 'newer'], ['old', 'new']):
        assert codec.Codec(known).decode(context.frame).kind == 'ping'


@behave.when(
    '300 random byte strings and 300 signed ones are decoded as heartbeats'
)
def fuzz(context):
    frames = codec.Codec(['one'])
    context.count = 0

    def read(data):
        context.count += 1
        try:
            heartbeat_message.decode(frames.decode(data))
        except core_errors.KingcupfrontError as error:
            assert error.code

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=300))
    def unsigned(data):
        read(data)

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=300))
    def signed(data):
        read(codec._tag(b'one', data) + data)
        read(frames.encode(codec.Message('e', 1, 1, 'ping', data)))

    unsigned()
    signed()


@behave.then('each one was read or refused with a typed error')
def fuzzed(context):
    assert context.count >= 600, context.count

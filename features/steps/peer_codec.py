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


def build_frame(secret='one', **changes):
    message = link.Link('entry-1', codec.Codec(['one'])).build_message(
        'ping', b'x'
    )
    message = dataclasses.replace(message, **changes)
    return codec.Codec([secret]).encode(message)


def build_frame_of_version(number):
    envelope = codec.schema.Envelope.new_message(
        version=number, sender='entry-1', incarnation=1, number=1, kind='ping'
    )
    payload = envelope.to_bytes()
    return codec._tag(b'one', payload) + payload


def build_frame_with_flipped_bit():
    data = bytearray(build_frame())
    data[-3] ^= 4
    return bytes(data)


FRAMES_BY_FAULT = {
    'empty': lambda: [b''],
    'truncated': lambda: [build_frame()[:-5]],
    'oversized': lambda: [build_frame() + bytes(codec.MAX_FRAME_BYTES)],
    'signed by another secret': lambda: [build_frame('two')],
    'changed in one bit': lambda: [build_frame_with_flipped_bit()],
    'of schema version 0': lambda: [build_frame_of_version(0)],
    'of schema version 9': lambda: [build_frame_of_version(9)],
    'received twice': lambda: [build_frame(number=5)] * 2,
    'below the replay window': lambda: [
        build_frame(incarnation=3, number=replay.WINDOW_NUMBERS + 1),
        build_frame(incarnation=3, number=1),
    ],
    'for another process': lambda: [build_frame(audience=77)],
}


@behave.when('a peer frame is {fault}')
def receive_frame(context, fault):
    receiver = link.Link('entry-2', codec.Codec(['one']))
    context.error = None
    frames = FRAMES_BY_FAULT[fault]()
    for frame in frames:
        assert context.error is None
        try:
            receiver.accept(frame)
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
def codec_with_two_secrets(context):
    message = codec.Message('entry-1', 1, 1, 'ping')
    context.frame = codec.Codec(['old', 'new']).encode(message)


@behave.then('its frames are read by every codec that knows the second secret')
def frames_read_after_rotation(context):
    for secrets in (['new'], ['new', 'newer'], ['old', 'new']):
        assert codec.Codec(secrets).decode(context.frame).kind == 'ping'


@behave.when(
    '300 random byte strings and 300 signed ones are decoded as heartbeats'
)
def decode_random_bytes(context):
    frame_codec = codec.Codec(['one'])
    context.count = 0

    def read(data):
        context.count += 1
        try:
            heartbeat_message.decode(frame_codec.decode(data))
        except core_errors.KingcupfrontError as error:
            assert error.code

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=300))
    def read_unsigned(data):
        read(data)

    @FUZZ
    @hypothesis.given(strategies.binary(max_size=300))
    def read_signed(data):
        read(codec._tag(b'one', data) + data)
        read(frame_codec.encode(codec.Message('e', 1, 1, 'ping', data)))

    read_unsigned()
    read_signed()


@behave.then('each one was decoded or refused with an error code')
def random_bytes_decoded(context):
    assert context.count >= 600, context.count

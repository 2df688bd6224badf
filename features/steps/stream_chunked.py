"""Steps for bodies in chunks."""

import behave

from kingcupfront_stream import chunked


def decode(parts):
    decoder = chunked.Decoder()
    body = b''
    try:
        for part in parts:
            body += decoder.feed(part)
    except chunked.ChunkError:
        return b'', 'damaged'
    return body, 'ended' if decoder.ended else 'open'


@behave.when('the stream chunks "{raw}" are decoded byte by byte and at once')
def decode_both(context, raw):
    data = raw.encode().decode('unicode_escape').encode()
    single = [data[i : i + 1] for i in range(len(data))]
    context.results = [decode(single), decode([data])]


@behave.then('the stream body is "{body}" and its state is "{state}"')
def check(context, body, state):
    wanted = (body.encode(), state)
    assert context.results == [wanted, wanted], context.results


@behave.then('the stream body is "" and its state is "{state}"')
def check_empty(context, state):
    check(context, '', state)

"""Steps for requests through separate processes from end to end."""

import json

import behave
import openai

from features.support import fleet


@behave.given('a fleet of {count:d} entries, an engine and a plain service')
def start_fleet(context, count):
    context.fleet = fleet.Fleet()
    context.stack.callback(context.fleet.close)
    context.fleet.publish(fleet.simple_objects())
    engines, plains = context.fleet.launch(entries=count)
    context.engine, context.plain = engines[0], plains[0]


def stream(entry, tokens):
    body = {
        'model': 'assistant',
        'messages': [{'role': 'user', 'content': 'hello'}],
        'max_tokens': tokens,
        'stream': True,
    }
    return fleet.ask(entry, '/v1/chat/completions', body).data


def texts(data):
    events = [e for e in data.decode().split('\n\n') if e]
    assert events[-1] == 'data: [DONE]', events[-1]
    rows = [e.split('data: ', 1)[1] for e in events[:-1]]
    return [
        json.loads(r)['choices'][0]['delta']['content'].strip() for r in rows
    ]


@behave.when('a caller streams {tokens:d} tokens through each entry')
def stream_each(context, tokens):
    context.streams = [stream(e, tokens) for e in context.fleet.entries]


@behave.then(
    'each caller got tokens 1 to {tokens:d} of one generation and an end event'
)
def check_streams(context, tokens):
    for data in context.streams:
        got = texts(data)
        generation = got[0].split('-')[0]
        assert got == [f'{generation}-{n + 1}' for n in range(tokens)], got


@behave.when('a caller requests {tokens:d} tokens without streaming')
def ask_plain(context, tokens):
    body = {'model': 'assistant', 'prompt': 'hello', 'max_tokens': tokens}
    response = fleet.ask(context.fleet.entries[0], '/v1/completions', body)
    assert response.status == 200, response.data
    context.answer = json.loads(response.data)


@behave.then('the response has {tokens:d} tokens')
def check_plain(context, tokens):
    words = context.answer['choices'][0]['text'].split()
    assert len(words) == tokens, words
    assert context.answer['choices'][0]['finish_reason'] == 'stop'


@behave.when('a caller posts an action to the plain service')
def post_action(context):
    context.response = fleet.ask(
        context.fleet.entries[0], '/services/register/lots', {'lot': 7}
    )


@behave.then('the outcome is "{outcome}" and the service ran it once')
def check_action(context, outcome):
    assert context.response.headers['Kingcupfront-Outcome'] == outcome
    assert len(context.plain.executions()) == 1


@behave.when('the openai client streams {tokens:d} tokens')
def openai_stream(context, tokens):
    client = openai.OpenAI(
        base_url=f'{context.fleet.entries[0].url}/v1', api_key=fleet.KEY
    )
    chunks = client.chat.completions.create(
        model='assistant',
        messages=[{'role': 'user', 'content': 'hello'}],
        max_tokens=tokens,
        stream=True,
    )
    context.words = [c.choices[0].delta.content for c in chunks]


@behave.then('the openai client got {tokens:d} tokens')
def openai_check(context, tokens):
    assert len(context.words) == tokens, context.words

"""A server that fails with 503 after it has run a request; see claim.txt."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins2'))
import world as worlds

REQUESTS, CALLERS = 800, 24
# One of them is grey, a share of 0.125 of at most 0.14.
SERVERS = 8
# It fails this part of its requests.
FAILING_PART = 0.4


async def case(world: worlds.World, has_trouble: bool) -> int:
    servers = [
        await world.add_server(f'plain-{number}', 'plain')
        for number in range(SERVERS)
    ]
    served = 0

    def reply(fields: dict) -> tuple:
        """Fail like a server whose own database is away at the end."""
        nonlocal served
        served += 1
        is_failing = has_trouble and served * FAILING_PART % 1 < FAILING_PART
        return (503, {}) if is_failing else (200, {})

    servers[0].reply = reply
    for server in servers:
        server.work_seconds = 0.0225
    await world.publish()
    await world.add_gateways(1)
    gateway, note = world.gateways[0], world.record.note
    refused, statuses = [], {}

    async def call(caller: int) -> None:
        for number in range(caller, REQUESTS, CALLERS):
            attempt = f'order-{number}'
            answer = await worlds.ask(gateway.ip, '/once/2f', attempt)
            note(f'{attempt}: answer {answer.status} {answer.fields}')
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            if answer.status in (408, 421, 429, 503):
                refused.append(attempt)

    await asyncio.gather(*(call(caller) for caller in range(CALLERS)))
    runs = [attempt for server in servers for attempt in server.runs]
    broken = [attempt for attempt in refused if attempt in runs]
    for attempt in broken:
        note(f'REFUSED AND RUN: {attempt}')
    note(f'answers {statuses}; refused and run: {len(broken)}')
    if not statuses.get(200):
        return worlds.UNABLE
    return worlds.BROKEN if broken else worlds.HELD


worlds.run(
    pathlib.Path(__file__).parent / 'record.txt',
    os.environ.get('TROUBLE', '1') != '0',
    case,
)

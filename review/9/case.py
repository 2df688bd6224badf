"""A prompt part with a long id that crashes each engine; see claim.txt."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins2'))
import world as worlds

CONTACT_SECONDS = 4.0
GATEWAYS, ENGINES = 8, 9
BACK_SECONDS = 2.0
INTERVAL_SECONDS = 0.6
LONG_DIGITS, SHORT_DIGITS = 128, 16
FAULTY_REQUESTS = 50
# The rule allows so many requests with the part to reach servers late.
MOST_LATE = 3


async def case(world: worlds.World, has_trouble: bool) -> int:
    digits = LONG_DIGITS if has_trouble else SHORT_DIGITS
    faulty = f'{random.getrandbits(4 * digits):0{digits}x}'
    note = world.record.note
    arrived_at, crashed_at, tasks = [], [], []

    async def add_engine() -> None:
        number = world.store.revision
        engine = await world.add_server(f'engine-{number}', 'engine', events=3)

        def on_run(fields: dict) -> bool:
            if faulty not in fields.get('kingcupfront-prefix-hash', ''):
                return True
            arrived_at.append(time.monotonic())
            crashed_at.append(time.monotonic())
            note(f'crash {len(crashed_at)}: {engine.name}')
            world.servers.remove(engine)
            tasks.append(asyncio.create_task(replace(engine)))
            return False

        engine.on_run = on_run

    async def replace(engine: worlds.Server) -> None:
        await asyncio.sleep(BACK_SECONDS)
        await world.store.delete(f'servers/{engine.name}')
        await add_engine()

    for _ in range(ENGINES):
        await add_engine()
    await world.publish()
    await world.add_gateways(GATEWAYS)
    # The gateways learn of one another and are in touch.
    await asyncio.sleep(8)
    statuses = {}

    async def call(gateway: worlds.Gateway, part: str, name: str) -> None:
        own = f'{random.getrandbits(32):08x}'
        answer = await worlds.ask(
            gateway.ip,
            '/stream/2f',
            name,
            fields={
                'Kingcupfront-Model': 'm',
                'Kingcupfront-Token-Usage': '40,12',
                'Kingcupfront-Prefix-Hash': f'{part}:20,{own}:20',
            },
        )
        note(f'{name} at {gateway.name}: answer {answer.status}')
        kind = name.partition('-')[0]
        statuses.setdefault(kind, []).append(answer.status)

    for number in range(FAULTY_REQUESTS):
        gateway = world.gateways[number % GATEWAYS]
        other = world.gateways[(number + 3) % GATEWAYS]
        tasks.append(
            asyncio.create_task(call(gateway, faulty, f'faulty-{number}'))
        )
        sound = f'{number:016x}'
        tasks.append(
            asyncio.create_task(call(other, sound, f'sound-{number}'))
        )
        await asyncio.sleep(INTERVAL_SECONDS)
    await asyncio.sleep(3)
    await asyncio.gather(*tasks)
    note(f'{len(crashed_at)} crashes, answers {statuses}')
    if len(crashed_at) < 3 or 200 not in statuses.get('sound', []):
        return worlds.UNABLE
    if len(crashed_at) < 5:
        return worlds.HELD
    since = crashed_at[4] + CONTACT_SECONDS
    late = sum(at > since for at in arrived_at)
    note(f'{late} requests with the part reached servers late')
    return worlds.BROKEN if late > MOST_LATE else worlds.HELD


worlds.run(
    pathlib.Path(__file__).parent / 'record.txt',
    os.environ.get('TROUBLE', '1') != '0',
    case,
)

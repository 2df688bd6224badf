"""A few entries, each with a list of its own and behind a relay."""

import contextlib

import gevent

from features.support import actions
from features.support import fleet
from features.support import relay

SERVICE = 'desk'
NAMES = 'ABC'


class Halves:
    """Entries A, B and so on, each with a view of the fleet."""

    def __init__(self, *views):
        self.stack = contextlib.ExitStack()
        self.worlds = [fleet.Fleet() for _ in views]
        for world in self.worlds:
            self.stack.callback(world.close)
            world.publish(actions.objects())
        self.plain = self.worlds[0].start(fleet.Standin, 'plain')
        self.entries = [
            world.add_entry(name, register=False)
            for world, name in zip(self.worlds, NAMES, strict=False)
        ]
        self.relays = {
            e.name: self.stack.enter_context(
                contextlib.closing(relay.Relay(e.peers))
            )
            for e in self.entries
        }
        for world, view in zip(self.worlds, views, strict=True):
            world.enlist(self.plain, SERVICE, 'desk-1')
            for name in set(view) & set(self.relays):
                address = self.relays[name].address
                world.register(name, address, 'kingcupfront')
        for world, view in zip(self.worlds, views, strict=True):
            world.wait_ready()
            self._settle(world.entries[0], view)
        self.bodies = [{'lot': 1}, {'lot': 2}]

    def _settle(self, entry, view):
        wanted = entry.peers
        if entry.name in view:
            wanted = self.relays[entry.name].address
        fleet.until(
            lambda: actions.own_address(entry) == wanted, 'own address'
        )

    def cut(self):
        for item in self.relays.values():
            item.there.silence()
            item.back.silence()

    def heal(self):
        for item in self.relays.values():
            item.heal()

    def act(self, entry, key, body):
        return fleet.ask(
            entry,
            f'/services/{SERVICE}/lots',
            body,
            headers={'Idempotency-Key': key},
            timeout=60,
        )

    def both(self, key, body):
        tasks = [gevent.spawn(self.act, e, key, body) for e in self.entries]
        return [task.get() for task in tasks]

    def close(self):
        self.stack.close()

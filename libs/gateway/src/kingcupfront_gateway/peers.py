"""Exchange of the directory's contents between gateways of a data centre."""

from collections.abc import Iterator
import contextlib
import dataclasses
import logging

import gevent

from kingcupfront_core import address as addresses
from kingcupfront_core import errors as core_errors
from kingcupfront_decisions import eras
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import listing
from kingcupfront_gateway import members
from kingcupfront_peer import codec
from kingcupfront_peer import link

LOG = logging.getLogger(__name__)

JOIN_METHOD = 'gateway_join'
ASK_METHOD = 'directory_ask'
# The longest time for which a peer holds a request until something changes.
MAX_WAIT_SECONDS = 0.5
# Time for an answer to arrive beyond the time that the peer may hold it.
RESPONSE_MARGIN_SECONDS = 0.4
JOIN_TIMEOUT_SECONDS = 0.5
JOIN_INTERVAL_SECONDS = 10.0
JOIN_RETRY_INTERVAL_SECONDS = 0.5
# Gateways of each other data centre that a joining one is told of.
CONTACTS_PER_ZONE = 3
# An older view is not passed on, since the directory must be unreachable then.
# Covers twice the wait of a watch without changes and a late answer.
MAX_SHARED_AGE_SECONDS = 2.2
# Each gateway reads larger changes from the directory itself: one link of
# 10 Mbit/s cannot carry a large configuration to a whole data centre.
MAX_SHARED_BYTES = 32 * 1024


@dataclasses.dataclass(frozen=True)
class DirectoryUpdate:
    """The contents of the directory as a peer reports them.

    :param is_snapshot: whether the entries are the whole directory rather
        than changes.
    :param confirmed_at: when the peer's view was current, in seconds of this
        process's clock.
    :param reachable_seconds: how long the peer has been in contact with the
        directory.
    """

    era: int
    revision: int
    is_snapshot: bool
    entries: tuple[listing.Entry, ...]
    confirmed_at: float
    reachable_seconds: float


class PeerExchange:
    """Serves the directory's contents to other gateways and fetches from them.

    :param process: the gateway process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        settings = process.settings
        self._process = process
        self._own_address = str(settings.peers)
        self.members = members.Members(self._own_address, settings.zone)
        self.link = link.Link(
            settings.instance,
            codec.Codec([settings.peer_secret]),
            budget=process.caller_budget,
        )
        self.link.handlers.register(JOIN_METHOD)(self._handle_join)
        self.link.handlers.register(ASK_METHOD)(self._handle_ask)

    @contextlib.contextmanager
    def listening(self) -> Iterator[None]:
        """Serve other gateways and announce this one while the block runs."""
        with self.link.listening(self._process.settings.peers):
            task = gevent.spawn(self._announce)
            try:
                yield
            finally:
                task.kill()

    def watcher(self) -> str | None:
        """Return the address of the watcher; None if this gateway watches."""
        now = self._now()
        self._process.cold_targets.record_gateways(
            self.members.known_in_own_zone(now), now
        )
        return self.members.watcher(now)

    def _now(self) -> float:
        return self._process.clock.monotonic()

    def _announce(self) -> None:
        """Announce this gateway to the seeds and learn of other gateways.

        Each seed knows only the gateways that have contacted it, so all seeds
        are contacted first, also when a reload changes them; after that one
        random seed per interval.
        """
        known_seeds: set[addresses.Address] = set()
        pending: list[addresses.Address] = []
        while True:
            # A reload may have changed them.
            seeds = self._seeds()
            if set(seeds) != known_seeds:
                known_seeds, pending = set(seeds), seeds
            pending = [seed for seed in pending if not self._join(seed)]
            interval = (
                JOIN_RETRY_INTERVAL_SECONDS
                if pending
                else JOIN_INTERVAL_SECONDS
            )
            self._process.settings_changed.wait(
                self._process.rng.uniform(0.5, 1.0) * interval
            )
            if not pending and known_seeds:
                pending = [self._process.rng.choice(seeds)]

    def _seeds(self) -> list[addresses.Address]:
        return [
            seed
            for seed in self._process.settings.seeds
            if str(seed) != self._own_address
        ]

    def _join(self, seed: addresses.Address) -> bool:
        zone = self._process.settings.zone
        body = codec.schema.Join.new_message(
            address=self._own_address, place=zone
        )
        try:
            answer = self.link.call(
                seed, JOIN_METHOD, body.to_bytes(), JOIN_TIMEOUT_SECONDS
            )
            with codec.open_struct(codec.schema.Joined, answer.body) as joined:
                self._record_members(joined.addresses)
                for contact in joined.contacts:
                    self.members.record_seen(
                        contact.address, contact.place, self._now()
                    )
        except core_errors.KingcupfrontError as error:
            LOG.info(
                'join_failed',
                extra={'seed': str(seed), 'detail': str(error)},
            )
            return False
        self._process.cold_targets.record_contact()
        return True

    def _record_members(self, member_addresses: list[str]) -> None:
        for address in member_addresses:
            self.members.record_seen(
                address, self._process.settings.zone, self._now()
            )

    def fetch_update(
        self,
        peer: str,
        era: int,
        revision: int | None,
        wait: float = MAX_WAIT_SECONDS,
    ) -> DirectoryUpdate:
        """Ask a peer for the changes after a revision, waiting for some.

        :param peer: the address of the peer.
        :param era: the known era of the directory.
        :param revision: the last known revision of that era, or None.
        :param wait: seconds to wait if there are none.
        :raises KingcupfrontError: if the peer does not answer; it is then not
            chosen for a while.
        """
        requested_at = self._now()
        body = codec.schema.DirectoryAsk.new_message(
            address=self._own_address,
            place=self._process.settings.zone,
            revision=revision or 0,
            waitMilliseconds=int(wait * 1000),
            blockedDigest=self._process.crash_evidence.blocked_digest,
            era=era,
            readsEras=True,
        )
        try:
            answer = self.link.call(
                addresses.Address.parse(peer),
                ASK_METHOD,
                body.to_bytes(),
                wait + RESPONSE_MARGIN_SECONDS,
            )
            update = self._decode_answer(peer, answer.body, requested_at)
            if not era <= update.era <= eras.MAX_ERA:
                raise errors.OldEraError(
                    f'{peer}: a view of era {update.era}, after {era}'
                )
        except core_errors.KingcupfrontError:
            self.members.record_failure(peer, self._now())
            raise
        self.members.record_success(peer, self._now())
        self._process.cold_targets.record_contact()
        return update

    def _decode_answer(
        self, peer: str, body: bytes, requested_at: float
    ) -> DirectoryUpdate:
        with codec.open_struct(codec.schema.DirectoryAnswer, body) as answer:
            self._record_members(answer.addresses)
            self._process.crash_evidence.compare_blocked(
                peer, answer.blockedDigest
            )
            return DirectoryUpdate(
                era=answer.era,
                revision=answer.revision,
                is_snapshot=answer.isWhole,
                entries=tuple(
                    listing.Entry(
                        e.key, e.revision, bytes(e.value), e.isDeleted
                    )
                    for e in answer.entries
                ),
                confirmed_at=requested_at - answer.ageMilliseconds / 1000,
                reachable_seconds=answer.steadyMilliseconds / 1000,
            )

    def _handle_join(self, message: codec.Message) -> bytes:
        with codec.open_struct(codec.schema.Join, message.body) as join:
            self.members.record_seen(join.address, join.place, self._now())
            member_addresses = self.members.in_zone(join.place, self._now())
            others = [a for a in member_addresses if a != join.address]
            contacts = list(self._contacts(join.place))
        return codec.schema.Joined.new_message(
            addresses=others, contacts=contacts
        ).to_bytes()

    def _contacts(self, zone: str) -> Iterator[object]:
        """Yield some gateways of each data centre but one."""
        now = self._now()
        for other in {
            *self.members.other_zones(now),
            self._process.settings.zone,
        }:
            if other == zone:
                continue
            sampled = self.members.sample(
                other, now, CONTACTS_PER_ZONE, self._process.rng
            )
            for address in sampled:
                yield codec.schema.Join.new_message(
                    address=address, place=other
                )

    def _wait_for_view(
        self, asked: eras.View, wait: float, *, reads_eras: bool
    ) -> gateway.DirectoryView:
        """Wait for a view after the one that a peer has.

        :param wait: seconds after which to return if nothing changed.
        :raises OldViewError: if there is none to share with that peer.
        """
        own_listing = self._process.listing
        # After a restore this gateway has no view for a moment.
        is_reading = own_listing.view is None and own_listing.era > 0
        if is_reading or (
            own_listing.view is not None and own_listing.view <= asked
        ):
            own_listing.changed.wait(min(wait, MAX_WAIT_SECONDS))
        if not eras.may_serve(own_listing.view, asked, reads_eras=reads_eras):
            raise errors.OldViewError(
                f'{self._own_address}: view {own_listing.view} does not '
                f'answer a request from era {asked.era}'
            )
        view = self._process.directory_view()
        if view is None or view.age > MAX_SHARED_AGE_SECONDS:
            raise errors.OldViewError(
                f'{self._own_address}: no view of the directory from the last '
                f'{MAX_SHARED_AGE_SECONDS} s'
            )
        return view

    def _handle_ask(self, message: codec.Message) -> bytes:
        arrived_at = self._now()
        with codec.open_struct(codec.schema.DirectoryAsk, message.body) as ask:
            address, zone = ask.address, ask.place
            asked = eras.View(ask.era, ask.revision)
            reads_eras, wait = ask.readsEras, ask.waitMilliseconds / 1000
            self._process.crash_evidence.compare_blocked(
                address, ask.blockedDigest
            )
        self.members.record_seen(address, zone, arrived_at)
        own_listing = self._process.listing
        view = self._wait_for_view(asked, wait, reads_eras=reads_eras)
        is_snapshot, entries = own_listing.changes_since(
            asked.revision, asked.era
        )
        if sum(len(entry.value) for entry in entries) > MAX_SHARED_BYTES:
            raise errors.LargeChangeError(
                f'{self._own_address}: changes after view {asked} exceed '
                f'{MAX_SHARED_BYTES} bytes'
            )
        member_addresses = self.members.in_zone(zone, self._now())
        answer = codec.schema.DirectoryAnswer.new_message(
            era=own_listing.era,
            revision=own_listing.revision,
            isWhole=is_snapshot,
            entries=[
                codec.schema.DirectoryEntry.new_message(
                    key=e.key,
                    revision=e.revision,
                    isDeleted=e.is_deleted,
                    value=e.value,
                )
                for e in entries
            ],
            ageMilliseconds=int(
                1000 * (view.age - (self._now() - arrived_at)) + 1
            ),
            steadyMilliseconds=int(view.reachable_seconds * 1000),
            addresses=[a for a in member_addresses if a != address],
            blockedDigest=self._process.crash_evidence.blocked_digest,
        )
        return answer.to_bytes()

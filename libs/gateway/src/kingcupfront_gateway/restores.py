"""Notices that the directory was restored from a copy, and acts on it."""

import logging

from kingcupfront_decisions import eras
from kingcupfront_gateway import errors
from kingcupfront_gateway import gateway
from kingcupfront_gateway import upstream

LOG = logging.getLogger(__name__)

INVALID_LOG_INTERVAL_SECONDS = 10.0


class Restores:
    """Compares the era of each response with the known one.

    :param process: the gateway process.
    """

    def __init__(self, process: gateway.Gateway) -> None:
        self._process = process
        # Whether the directory or a peer has answered before.
        self._has_contact = False
        self._invalid_logged_at = float('-inf')

    def check(self, head: upstream.ReplyHead) -> None:
        """Check the era of a response of the directory.

        :raises RestoredDirectoryError: if it is newer than the known one.
        :raises OldEraError: if it is older.
        """
        process = self._process
        era = process.platform.read_era(head.headers)
        if era.invalid:
            self._log_invalid(era.invalid)
        if era.number is not None:
            process.targets.has_eras = True
        order = eras.compare(process.listing.era, era.number)
        if order is eras.Order.OLDER:
            raise errors.OldEraError(
                f'a response of era {era.number}, after {process.listing.era}'
            )
        if order is eras.Order.NEWER:
            if self._has_contact:
                raise errors.RestoredDirectoryError(era.number)
            # Nothing was read before, so nothing has to be read again.
            process.listing.start_era(era.number)
        self._has_contact = True

    def reach(self, era: int) -> None:
        """Act on the era of a peer's answer, which is not an older one."""
        if era > self._process.listing.era:
            if self._has_contact:
                self.start_era(era)
            else:
                self._process.listing.start_era(era)
                self._process.targets.has_eras = True
        self._has_contact = True

    def start_era(self, era: int) -> None:
        """Act on a restore: keep what is known until all is read again."""
        process = self._process
        LOG.warning(
            'directory_restored',
            extra={
                'era': era,
                'former_era': process.listing.era,
                'former_revision': process.listing.revision,
                'source': process.directory_source,
            },
        )
        process.listing.start_era(era)
        process.targets.has_eras = True
        process.evacuations.keep_after_restore(process.clock.monotonic())
        # A target that is missing now may register again.
        process.reachable_since = None

    def _log_invalid(self, text: str) -> None:
        now = self._process.clock.monotonic()
        if now < self._invalid_logged_at + INVALID_LOG_INTERVAL_SECONDS:
            return
        self._invalid_logged_at = now
        LOG.warning('era_ignored', extra={'value': text})

"""Failures between entry processes."""

from kingcupfront_core import errors


class PeerError(errors.KingcupfrontError):
    """A peer that cannot be asked or did not answer.

    :param message: what went wrong.
    :param sent: whether a byte of the message may have left.
    """

    code = 'peer_unavailable'

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class FrameError(errors.BadInputError):
    """A frame that is damaged, too large or not authenticated."""

    code = 'bad_frame'


class ReplayError(FrameError):
    """A frame that was received before or is for another process."""

    code = 'replayed_frame'


class BusyError(errors.KingcupfrontError):
    """A peer that has as many transfers in progress as it allows."""

    code = 'peer_busy'

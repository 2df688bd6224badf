"""Errors in messages between entry processes."""

from kingcupfront_core import errors


class PeerError(errors.KingcupfrontError):
    """A peer cannot be reached, or did not answer successfully.

    :param message: the description of the error.
    :param sent: whether any byte of the request may have been sent.
    """

    code = 'peer_unavailable'

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class FrameError(errors.BadInputError):
    """A frame is damaged, too large or not authentic."""

    code = 'bad_frame'


class ReplayError(FrameError):
    """A frame was received before or is for another process."""

    code = 'replayed_frame'


class BusyError(errors.KingcupfrontError):
    """A peer already has as many transfers in progress as it allows."""

    code = 'peer_busy'

"""When one of many equal processes may send orders."""

from kingcupfront_core import clock


class SenderGate:
    """Grants a turn only after the view has stood still for a while.

    A change of sender, of revision or of trust in the view starts the wait
    anew, so that a sender before it has stopped in the meantime.

    :param time: the clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._since_by_key: dict[str, tuple[object, float]] = {}

    def may_send(
        self, key: str, view: object, is_sender: bool, settle_seconds: float
    ) -> bool:
        """Return whether orders for a key may be sent now.

        :param key: what the orders are for.
        :param view: what the turn depends on; any change starts the wait.
        :param mine: whether this process is the sender under that view.
        :param settle_seconds: how long the view must have stood still.
        """
        now = self._clock.monotonic()
        known, since = self._since_by_key.get(key, (None, now))
        if known != view:
            self._since_by_key[key] = (view, now)
            return False
        return is_sender and now - since >= settle_seconds

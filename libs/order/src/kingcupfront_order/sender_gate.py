"""Decides when one of several entries may send orders."""

from kingcupfront_core import clock


class SenderGate:
    """Lets the sender send orders once its view has not changed for a while.

    A change of the sender, of the revision or of the trust in the view
    restarts the wait, which gives the previous sender time to stop.

    :param time: the clock.
    """

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        self._views_by_key: dict[str, tuple[object, float]] = {}

    def may_send(
        self, key: str, view: object, is_sender: bool, settle_seconds: float
    ) -> bool:
        """Return whether orders for a key may be sent now.

        :param key: identifies what the orders are for, such as an engine.
        :param view: the values that the decision depends on; any change
            restarts the wait.
        :param is_sender: whether this process is the sender in that view.
        :param settle_seconds: how long the view must not have changed.
        """
        now = self._clock.monotonic()
        last_view, since = self._views_by_key.get(key, (None, now))
        if last_view != view:
            self._views_by_key[key] = (view, now)
            return False
        return is_sender and now - since >= settle_seconds

"""The exceptions of orders to engines."""

from kingcupfront_core import errors


class OrderError(errors.KingcupfrontError):
    """An engine could not be reached, or did not accept a request."""

    code = 'order_failed'


class FencedError(OrderError):
    """An engine has already executed an order of a newer revision."""

    code = 'order_fenced'

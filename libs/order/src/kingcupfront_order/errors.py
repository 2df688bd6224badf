"""Failures of orders to engines."""

from kingcupfront_core import errors


class OrderError(errors.KingcupfrontError):
    """An engine that cannot be asked or did not answer an order."""

    code = 'order_failed'


class FencedError(OrderError):
    """An engine that has obeyed a newer configuration."""

    code = 'order_fenced'

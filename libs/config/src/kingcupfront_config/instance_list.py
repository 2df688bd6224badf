"""What the platform says about instances."""

import dataclasses

from kingcupfront_core import address


@dataclasses.dataclass(frozen=True)
class Instance:
    """One row of the instance list.

    :param id: the instance's name.
    :param service: the service that it belongs to.
    :param place: the place where it runs.
    :param address: where it listens.
    :param leaving: whether it will leave soon.
    :param slots: requests that it serves side by side.
    """

    id: str
    service: str
    place: str
    address: address.Address
    leaving: bool = False
    slots: int = 32

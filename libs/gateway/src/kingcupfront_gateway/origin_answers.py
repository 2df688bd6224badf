"""What other gateways know of the origin of a stream."""

import dataclasses
import typing

from kingcupfront_decisions import software_versions


@dataclasses.dataclass
class Answers:
    """What gateways said of a stream.

    :param begun: how it began; None if nobody knows.
    :param sole: the one version that has served for a while, if one of them
        knows that it was one.
    :param is_complete: whether all that were asked have answered.
    :param is_mixed: whether one of them knows of several versions.
    :param has_answer: whether one of them has answered.
    """

    begun: software_versions.Begun | None = None
    sole: software_versions.Begun | None = None
    is_complete: bool = True
    is_mixed: bool = False
    has_answer: bool = False

    def add_begun(self, begun: software_versions.Begun) -> None:
        """Add what one of them knows; two versions of a stream tell none."""
        if self.begun is None:
            self.begun = begun
        elif self.begun.version != begun.version:
            self.begun = software_versions.Begun(None)

    def add_sole(self, version: str | None) -> None:
        """Add what one of them says of the only version.

        :param version: that version; None if it does not know of one.
        """
        if version is None:
            return
        if self.sole is not None and self.sole.version != version:
            self.sole = software_versions.Begun(None)
        elif self.sole is None:
            self.sole = software_versions.Begun(version)


class Exchange(typing.Protocol):
    """Tells other gateways how streams began, and asks them."""

    def publish(self, stream_id: str, begun: software_versions.Begun) -> None:
        """Tell others how a stream began, without waiting for it.

        :param stream_id: the id of the request that brought its first event.
        """

    def ask(
        self, stream_id: str | None, services: list[str], window: float
    ) -> Answers:
        """Ask others how a stream began.

        :param services: the services that may have begun it.
        :param window: for how long a version has to have served alone to be
            the only one that can have begun it, in seconds.
        """


class NoExchange:
    """Stands for the exchange of a gateway that has no peers."""

    def publish(self, stream_id: str, begun: software_versions.Begun) -> None:
        """Tell nobody."""

    def ask(
        self, stream_id: str | None, services: list[str], window: float
    ) -> Answers:
        """Return that nothing is known.

        There is nobody else to know of another version, by the settings.
        """
        return Answers(has_answer=True)

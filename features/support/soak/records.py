"""What callers, targets and the operator saw, with times of one clock."""

import collections
import dataclasses
import re
import time

now = time.monotonic
# A whole event of a soak's engine: its number and the version that wrote it.
EVENT = re.compile(rb'id: (\d+)\ndata: \S+ \d+ (\S+)\n\n')


@dataclasses.dataclass(frozen=True)
class Message:
    """The body of a request, and how it is written.

    ``deadline`` is in seconds, if it is not that of the route.
    """

    body: bytes = b'question'
    wire: bytes = b'question'
    headers: tuple = ()
    deadline: float | None = None


@dataclasses.dataclass
class Attempt:
    """One request of a caller, as the caller saw it.

    ``status`` is 0 if the connection ended without an answer; ``pid`` is the
    process that it was sent to.
    """

    id: str
    route: str
    key: str
    gateway: str
    pid: int
    sent_at: float
    seconds: float
    wanted: int = 0
    ended_at: float = 0.0
    left_at: float | None = None
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    is_whole: bool = False
    may_be_unread: bool = False
    # When the last byte was sent, where the load notes it.
    last_byte_at: float | None = None
    # The parts of its prompt that other requests may have too.
    parts: tuple = ()
    message: Message = Message()
    # The attempt that began the stream which this one takes up, if any, and
    # the last event that the caller had.
    resumes: str | None = None
    after: int = 0

    @property
    def last_event(self):
        """The number of the last event that the caller has."""
        numbers = [int(number) for number, _ in EVENT.findall(self.body)]
        return max(numbers, default=self.after)

    @property
    def versions(self):
        """The software versions that wrote the events."""
        return {version.decode() for _, version in EVENT.findall(self.body)}

    @property
    def is_own_refusal(self):
        """Whether the gateway said that the request has not run."""
        return self.status in (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True)
class Run:
    """A target began to work on a request."""

    at: float
    attempt: str
    target: str
    service: str
    team: str
    is_continuation: bool


@dataclasses.dataclass
class Work:
    """The time for which a target had a request.

    ``has_run`` tells whether the target began to work on it.
    """

    attempt: str
    target: str
    began_at: float
    ended_at: float | None = None
    has_run: bool = False


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request reached a target, whether it ran or not."""

    at: float
    attempt: str
    target: str
    service: str


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A fault; ``scope`` is a gateway, a target, 'store' or 'all'."""

    kind: str
    scope: str
    began_at: float
    ended_at: float


@dataclasses.dataclass
class Service:
    """The time for which an engine of a software version took work."""

    target: str
    version: str
    began_at: float
    ended_at: float = float('inf')


class Ledger:
    """All records of one run."""

    def __init__(self):
        self.began_at = now()
        self.attempts_by_id = {}
        self.runs_by_id = collections.defaultdict(list)
        self.arrivals = []
        self.works = []
        # Attempts that met a target with a bad answer to give.
        self.spoiled_ids = set()
        self.troubles = []
        self.configurations = []
        # The regions of the regional route, with each configuration.
        self.regions = []
        self.zone_by_target = {}
        # When engines of each software version served.
        self.services = []
        # Engines whose entries named a further version without a new start.
        self.renamed_ids = set()
        # The zone, and when its evacuation began and was taken back.
        self.evacuations = []
        self.drained_at_by_target = {}
        self.revoked_at_by_key = {}
        # When targets began and ceased to be cold.
        self.cold_by_target = {}
        self.stops = []
        # When a target asked a gateway for silence, by both names: the time
        # and the seconds.
        self.silences_by_path = collections.defaultdict(list)
        # When a reply that says that the target leaves went to a gateway.
        self.told_leaving_by_path = {}
        # When engines ended on a part, by the part.
        self.crashes_by_part = collections.defaultdict(list)
        # The bytes that targets read as the rest of long bodies, and the
        # other bodies that they read, with their attempts.
        self.late_bytes = set()
        self.bodies = []
        # Gateways that missed two health checks in a row: the name and when
        # the first was sent.
        self.missed_checks = []
        self.early_violations = set()

    def end_service(self, target_id):
        """Note that an engine takes no more work, or gets ambiguous."""
        for service in self.services:
            if service.target == target_id:
                service.ended_at = min(service.ended_at, now())

    def add_past_trouble(self, kind, scope, began_at):
        """Note a trouble that has just ended."""
        self.troubles.append(Trouble(kind, scope, began_at, now()))

    def add_trouble(self, kind, scope, seconds=0.0):
        start = now()
        self.troubles.append(Trouble(kind, scope, start, start + seconds))

    def is_calm(self, scopes, begin, end, but=()):
        """Return whether no trouble of these scopes overlaps a span.

        :param but: kinds of trouble that do not count.
        """
        return not any(
            trouble.scope in scopes
            and trouble.kind not in but
            and trouble.began_at <= end
            and trouble.ended_at >= begin
            for trouble in self.troubles
        )

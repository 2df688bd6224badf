"""What is known of a part of prompts that engines crashed on."""

from collections.abc import Iterable
import dataclasses

from kingcupfront_gateway import bounded_names

# Engines that end at the same moment end by a common cause, such as a power
# failure, and count as one crash.
COMMON_CAUSE_SECONDS = 0.1
# Bounds of the crashes that are kept of a part.
MAX_EARLY_MARKS = 16
MAX_LATE_MARKS = 8
# What the names of trials begin with; those of crashes do not.
TRIAL_PREFIX = 'trial/'
# The longest names of parts, and of crashes and trials.
MAX_PART_CHARACTERS = 64
MAX_MARK_CHARACTERS = 128


def part_name(part_id: str) -> str:
    """Return the name under which a part of prompts is recorded and told.

    :param part_id: its id, as callers send it. It has no colon, so it is not
        taken for the digest of another one.
    """
    return bounded_names.shorten(part_id, MAX_PART_CHARACTERS)


def crash_name(start: str) -> str:
    """Return the name of a crash.

    :param start: the name of that start of the engine.
    """
    if start.startswith(TRIAL_PREFIX):
        return bounded_names.digest(start)
    return mark_name(start)


def trial_name(instance: str, number: int) -> str:
    """Return the name of a trial.

    :param instance: the instance that makes it.
    :param number: its number at that instance.
    """
    return mark_name(f'{TRIAL_PREFIX}{instance}/{number}')


def mark_name(name: str) -> str:
    """Return the bounded name of a crash or trial; a trial remains one."""
    prefix = TRIAL_PREFIX if name.startswith(TRIAL_PREFIX) else ''
    return prefix + bounded_names.shorten(
        name.removeprefix(prefix), MAX_MARK_CHARACTERS - len(prefix)
    )


@dataclasses.dataclass
class Mark:
    """A crash of an engine that was about to write on a part.

    :param sent_at: when the request was sent, in seconds.
    :param at: when the engine crashed.
    :param is_cleared: whether an answer was written on the part afterwards.
    """

    sent_at: float
    at: float
    is_cleared: bool = False


@dataclasses.dataclass
class PartRecord:
    """What is known of a part that was in the prompt of a crash.

    :param depth: its position in the prompt; a deeper part is more specific.
    :param is_proven: whether an engine has ever written an answer on it.
    :param was_blocked: whether any instance has ever blocked it.
    :param marks_by_crash: the crashes, by the names of the engines' starts.
    :param changed_at: when the record last changed, in seconds.
    """

    depth: int
    is_proven: bool = False
    was_blocked: bool = False
    marks_by_crash: dict[str, Mark] = dataclasses.field(default_factory=dict)
    changed_at: float = 0.0

    @property
    def last_mark_at(self) -> float:
        """When the last crash or trial was."""
        return max((m.at for m in self.marks_by_crash.values()), default=0.0)

    @property
    def open_crashes(self) -> set[str]:
        """The crashes that no later answer has refuted, without trials."""
        return {
            crash
            for crash, mark in self.marks_by_crash.items()
            if not mark.is_cleared and not crash.startswith(TRIAL_PREFIX)
        }

    def crash_times(self, explained: Iterable[str] = ()) -> list[float]:
        """Return when independent crashes spoke against the part, in order.

        :param explained: crashes that another part accounts for.
        """
        times: list[float] = []
        crashes = self.open_crashes.difference(explained)
        for mark in sorted(
            (self.marks_by_crash[crash] for crash in crashes),
            key=lambda m: m.at,
        ):
            if not times or (
                mark.at - times[-1] >= COMMON_CAUSE_SECONDS
                or mark.sent_at > times[-1]
            ):
                times.append(mark.at)
        return times

    @property
    def trials(self) -> int:
        """How many trials of the part have not succeeded."""
        return sum(
            crash.startswith(TRIAL_PREFIX) and not mark.is_cleared
            for crash, mark in self.marks_by_crash.items()
        )

    @property
    def facts(self) -> tuple:
        """What instances tell one another, without times."""
        return (
            self.is_proven,
            self.was_blocked,
            {
                crash: mark.is_cleared
                for crash, mark in self.marks_by_crash.items()
            },
        )

    def drop_excess(self) -> None:
        """Drop marks in the middle if there are too many.

        The first ones convict, and the last ones tell when a trial is due.
        """
        marks = self.marks_by_crash
        if len(marks) > MAX_EARLY_MARKS + MAX_LATE_MARKS:
            names = sorted(marks, key=lambda crash: marks[crash].at)
            kept = names[:MAX_EARLY_MARKS] + names[-MAX_LATE_MARKS:]
            self.marks_by_crash = {crash: marks[crash] for crash in kept}

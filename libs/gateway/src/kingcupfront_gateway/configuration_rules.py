"""Rules of a configuration that a gateway would load.

A gateway loads a configuration whose fields are valid by themselves. These
rules find entries that can never apply or that contradict one another.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import typing

from kingcupfront_core import registry
from kingcupfront_gateway import configuration_draft


class Finding(typing.NamedTuple):
    """One thing that is wrong with a configuration.

    :param subject: the entry, such as ``route answers``.
    :param code: what kind of finding it is.
    :param message: what is wrong, in one sentence.
    """

    subject: str
    code: str
    message: str

    def __str__(self) -> str:
        return f'{self.subject}: {self.message} [{self.code}]'


Check = Callable[
    [configuration_draft.Draft, configuration_draft.Surroundings],
    Iterator[tuple[str, str]],
]


@dataclasses.dataclass(frozen=True)
class Rule:
    """A rule and what it has to know besides the configuration.

    :param check: yields the subject and the message of each finding.
    :param needs: fields of the surroundings.
    """

    check: Check
    needs: frozenset[str]


rules: registry.Registry[Rule] = registry.Registry('configuration rule')


def rule(code: str, *needs: str) -> Callable[[Check], Check]:
    """Return a decorator that registers a check under the code it finds.

    :param code: the code of its findings.
    :param needs: the fields of the surroundings without which it is skipped.
    """

    def decorate(check: Check) -> Check:
        rules.register(code)(Rule(check, frozenset(needs)))
        return check

    return decorate


def find(
    draft: configuration_draft.Draft,
    surroundings: configuration_draft.Surroundings,
) -> list[Finding]:
    """Return what breaks a rule, in the order of subjects and codes.

    :param draft: the configuration.
    :param surroundings: what is known of the system that gets it.
    """
    return sorted(
        Finding(subject, code, message)
        for code in rules
        if rules.get(code).needs <= surroundings.known
        for subject, message in rules.get(code).check(draft, surroundings)
    )


def skipped(surroundings: configuration_draft.Surroundings) -> list[str]:
    """Return the codes that were not looked for, as too little is known."""
    known = surroundings.known
    return [code for code in rules if not rules.get(code).needs <= known]

"""Checks of a configuration of gateways before it is published."""

import dataclasses
import json
import pathlib
import typing

from kingcupfront_cli import errors
from kingcupfront_cli import platforms
from kingcupfront_core import address
from kingcupfront_core import errors as core_errors
from kingcupfront_gateway import adapter
from kingcupfront_gateway import configuration_diff
from kingcupfront_gateway import configuration_draft
from kingcupfront_gateway import configuration_entries  # noqa: F401 - rules
from kingcupfront_gateway import configuration_limits  # noqa: F401 - rules
from kingcupfront_gateway import configuration_rules
from kingcupfront_gateway import json_calls

INVALID_CODE = 'invalid'
# The option that gives what a rule needs.
OPTIONS_BY_FIELD = {
    'regions_by_zone': '--settings',
    'targets': '--store',
    'in_force': '--store or --in-force',
}


@dataclasses.dataclass(frozen=True)
class Sources:
    """Where to read what a configuration is checked against.

    :param settings: the settings file of a gateway, or None.
    :param store: the address of the store, or None.
    :param in_force: a file with the configuration in force, or None; it goes
        before the store's.
    """

    settings: pathlib.Path | None = None
    store: str | None = None
    in_force: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True)
class Report:
    """What was found in a configuration.

    :param findings: all that is wrong.
    :param changes: what differs from the one in force; None if unknown.
    :param skipped: the codes of the rules that were not applied.
    """

    findings: tuple[configuration_rules.Finding, ...]
    changes: tuple[configuration_diff.Change, ...] | None
    skipped: tuple[str, ...]

    def as_json(self) -> str:
        """Return the report as one JSON value."""
        changes = self.changes
        return json.dumps(
            {
                'errors': [item._asdict() for item in self.findings],
                'changes': (
                    None
                    if changes is None
                    else [item._asdict() for item in changes]
                ),
                'not_checked': self.skipped,
            }
        )

    def __str__(self) -> str:
        lines = [str(item) for item in self.findings]
        lines += [str(item) for item in self.changes or ()]
        for code in self.skipped:
            needs = configuration_rules.rules.get(code).needs
            options = ' and '.join(OPTIONS_BY_FIELD[n] for n in sorted(needs))
            lines.append(f'not checked: {code}, which needs {options}')
        summary = f'{len(self.findings)} errors'
        if self.changes is not None:
            summary += f', {len(self.changes)} changes'
        return '\n'.join([*lines, summary])


def check(platform: str, path: pathlib.Path, sources: Sources) -> Report:
    """Check a configuration.

    :param platform: the platform in whose format it is.
    :param path: the file that holds it.
    :param sources: where to read what it is checked against.
    :raises CannotCheckError: if a source cannot be read.
    """
    dialect = platforms.open_adapter(platform)
    around = _read_surroundings(dialect, sources)
    skipped = tuple(configuration_rules.skipped(around))
    try:
        draft = dialect.read_draft(_read_file(path))
    except configuration_draft.InvalidConfigurationError as error:
        findings = tuple(
            configuration_rules.Finding(where or '-', INVALID_CODE, message)
            for where, message in error.problems
        )
        return Report(findings, None, skipped)
    changes = None
    if around.in_force is not None:
        changes = tuple(configuration_diff.diff(around.in_force, draft))
    findings = tuple(configuration_rules.find(draft, around))
    return Report(findings, changes, skipped)


def _read_surroundings(
    dialect: adapter.Adapter, sources: Sources
) -> configuration_draft.Surroundings:
    zones = targets = text = None
    if sources.settings is not None:
        zones = dialect.settings(sources.settings).regions_by_zone
    if sources.store is not None:
        targets, text = _read_store(dialect, sources.store)
    if sources.in_force is not None:
        text = _read_file(sources.in_force)
    try:
        in_force = None if text is None else dialect.read_draft(text)
    except configuration_draft.InvalidConfigurationError as error:
        raise errors.CannotCheckError(
            f'the configuration in force is invalid: {error}'
        ) from error
    return configuration_draft.Surroundings(zones, targets, in_force)


def _read_store(
    dialect: adapter.Adapter, where: str
) -> tuple[tuple[typing.Any, ...], bytes | None]:
    """Return the targets and the text of the configuration in a store."""
    connection = json_calls.JsonConnection(address.Address.parse(where))
    try:
        _, entries = dialect.read_directory(connection)
    except core_errors.KingcupfrontError as error:
        raise errors.CannotCheckError(f'store {where}: {error}') from error
    finally:
        connection.close()
    changes = [dialect.decode_entry(entry) for entry in entries]
    targets = tuple(c.target for c in changes if c is not None and c.target)
    return targets, dialect.configuration_text(entries)


def _read_file(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise errors.CannotCheckError(f'{path}: {error.strerror}') from error

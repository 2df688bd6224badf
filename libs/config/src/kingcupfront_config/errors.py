"""Failures of settings, objects and configuration sources."""

from kingcupfront_core import errors


class ConfigError(errors.BadInputError):
    """Settings or objects that cannot be used."""

    code = 'bad_config'


class SourceError(errors.KingcupfrontError):
    """The configuration service or the instance list cannot be read."""

    code = 'source_unavailable'


class RevisionError(ConfigError):
    """A published set that does not follow from the one in force."""

    code = 'bad_revision'

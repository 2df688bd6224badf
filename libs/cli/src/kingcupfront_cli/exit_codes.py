"""The exit codes of the command, for scripts."""

ERRORS_FOUND = 1
BAD_USAGE = 2

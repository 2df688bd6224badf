"""Set up of all features."""

from gevent import monkey

monkey.patch_all()

import contextlib  # noqa: E402


def before_scenario(context, scenario):
    """Give each scenario a stack for what it starts."""
    context.stack = contextlib.ExitStack()


def after_scenario(context, scenario):
    """End what the scenario started."""
    context.stack.close()

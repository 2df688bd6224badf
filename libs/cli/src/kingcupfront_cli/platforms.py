"""The platforms that a gateway can run on."""

import importlib

from kingcupfront_gateway import adapter

# The module of each platform; importing it fills the registry.
MODULES_BY_PLATFORM = {'platform': 'kingcupfront_platform.dialect'}


def open_adapter(platform: str) -> adapter.Adapter:
    """Return the adapter of a platform.

    :param platform: the name of the platform.
    :raises UnknownNameError: if there is none of that name.
    """
    if platform in MODULES_BY_PLATFORM:
        importlib.import_module(MODULES_BY_PLATFORM[platform])
    return adapter.adapters.get(platform)()

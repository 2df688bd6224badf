"""Check that the libraries depend on one another only downwards."""

import ast
import pathlib
import sys

PREFIX = 'kingcupfront_'
ALLOWED = {
    'core': set(),
    'config': {'core'},
    'peer': {'core'},
    'route': {'core'},
    'stream': {'core'},
    'once': {'core'},
    'order': {'core', 'config'},
    'standin': {'core'},
    'decisions': {'core'},
    'gateway': {'core', 'peer', 'decisions'},
    'platform': {'core', 'decisions', 'gateway'},
    'entry': {'core', 'config', 'peer', 'route', 'stream', 'once', 'order'},
    'bench': {
        'core',
        'config',
        'peer',
        'route',
        'stream',
        'once',
        'order',
        'standin',
        'entry',
    },
}
ALLOWED['cli'] = set(ALLOWED) - {'cli'}


def _imported(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
        elif isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
    roots = {name.split('.')[0] for name in names}
    return {r.removeprefix(PREFIX) for r in roots if r.startswith(PREFIX)}


def _folder(library: str) -> pathlib.Path:
    found = pathlib.Path('libs', library)
    return found if found.exists() else pathlib.Path(library)


def main() -> int:
    """Print each import that points upwards.

    :returns: the exit code, 1 if any import points upwards.
    """
    bad = 0
    for library, allowed in sorted(ALLOWED.items()):
        for path in sorted(_folder(library).rglob('*.py')):
            for name in sorted(_imported(path) - allowed - {library}):
                print(f'{path}: {library} may not import {name}')
                bad = 1
    return bad


if __name__ == '__main__':
    sys.exit(main())

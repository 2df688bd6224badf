"""The head of the one binary: unpacks it to memory and runs the command.

The binary is a zip archive with this module as its ``__main__``. Shared
libraries cannot be loaded from an archive, so it is unpacked once, to a
folder of a memory file system that only the own user may read, and later
starts find it there. No process is started, not even for a moment.
"""

import os
import pathlib
import shutil
import stat
import sys
import tempfile
import zipfile

FOLDER_VARIABLE = 'KINGCUPFRONT_MEMORY'
USER_FOLDER_VARIABLE = 'XDG_RUNTIME_DIR'
MOUNTS = '/proc/self/mounts'
CODE = 'code/'
DIGEST = 'digest'


def _memory_folder() -> pathlib.Path:
    """Return the folder that is named, or a mounted memory file system."""
    for variable in (FOLDER_VARIABLE, USER_FOLDER_VARIABLE):
        if os.environ.get(variable):
            return pathlib.Path(os.environ[variable])
    for line in pathlib.Path(MOUNTS).read_text().splitlines():
        _, folder, kind, options, *_ = line.split()
        is_usable = kind == 'tmpfs' and 'noexec' not in options.split(',')
        if is_usable and os.access(folder, os.W_OK | os.X_OK):
            return pathlib.Path(folder)
    sys.exit(f'kingcupfront: no memory file system; set {FOLDER_VARIABLE}')


def _own_folder(parent: pathlib.Path) -> pathlib.Path:
    folder = parent / f'kingcupfront-{os.geteuid()}'
    folder.mkdir(mode=0o700, exist_ok=True)
    found = folder.lstat()
    private = not found.st_mode & (stat.S_IRWXG | stat.S_IRWXO)
    owned = found.st_uid == os.geteuid() and stat.S_ISDIR(found.st_mode)
    if not (private and owned):
        sys.exit(f'kingcupfront: {folder} is not a private folder of its own')
    return folder


def _unpack(archive: zipfile.ZipFile, folder: pathlib.Path) -> pathlib.Path:
    ready = folder / archive.read(DIGEST).decode()
    if ready.exists():
        return ready
    fresh = pathlib.Path(tempfile.mkdtemp(dir=folder))
    names = [n for n in archive.namelist() if n.startswith(CODE)]
    archive.extractall(fresh, names)
    try:
        fresh.rename(ready)
    except OSError:  # Another start was faster.
        shutil.rmtree(fresh)
    return ready


def main() -> None:
    """Run the command from the unpacked code."""
    parent = _memory_folder()
    with zipfile.ZipFile(sys.argv[0]) as archive:
        code = _unpack(archive, _own_folder(parent)) / CODE
    sys.path[0] = str(code)
    from kingcupfront_cli import main as command

    command.run()


if __name__ == '__main__':
    main()

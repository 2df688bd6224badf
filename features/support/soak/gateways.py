"""Gateways of the soak: real processes with addresses of their own."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys

import gevent

from features.support import relay
from features.support.soak import records

CALLERS_PORT = 8740
READY_PORT = 8749
PEERS_PORT = 8748
PROBE_SECONDS = 1.0
START_SECONDS = 60
# From the end of a process to its next start.
RESTART_SECONDS = 0.3
PROGRAM = ('deploy/start.py',)
SETTINGS = """\
node_name = "{name}"
zone = "{zone}"
ip = "{ip}"
seeds = {seeds}
[zones]
zone-a = "region-a"
zone-b = "region-b"
[listen]
frontend = "{ip}:{callers}"
readiness = "{ip}:{ready}"
control_plane = "{ip}:{peers}"
[limits]
memory_mb = 150
[bounds]
{bounds}
[platform]
address = "{store}"
"""


class Gateway:
    """One instance: its settings, its process and its way to the store.

    :param folder: holds the settings file and the log.
    :param program: the arguments of the interpreter.
    """

    def __init__(self, name, ip, zone, store, folder, bounds, program, seeds):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.store = relay.Relay(store)
        self.folder = pathlib.Path(folder)
        self.bounds = bounds
        self.seeds = seeds
        self.program = program or PROGRAM
        self.popen = None
        self.is_wanted = True
        self.is_stopping = False
        self._is_starting = False
        # Of another checkout whose program is run, if any.
        self.code_folder = None
        # Where standard output goes, if not to the log file.
        self.output = None
        self.log = (self.folder / f'{name}.log').open('ab')
        self.settings_path = self.folder / f'{name}.toml'
        self.write_settings()

    def write_settings(self):
        """Write the settings file; a change becomes known by SIGHUP."""
        bounds = '\n'.join(f'{k} = {v}' for k, v in self.bounds.items())
        self.settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                ip=self.ip,
                callers=CALLERS_PORT,
                ready=READY_PORT,
                peers=PEERS_PORT,
                seeds=json.dumps(self.seeds),
                bounds=bounds,
                store=self.store.address,
            )
        )

    @property
    def pid(self):
        return self.popen.pid if self.popen else 0

    @property
    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def start(self):
        self._is_starting = True
        try:
            self._start()
        finally:
            self._is_starting = False

    def _start(self):
        folders, program = list(filter(None, sys.path)), self.program
        if self.code_folder:
            code = pathlib.Path(self.code_folder)
            own = [*code.glob('libs/*/src'), code / 'platform/src']
            folders = [*map(str, own), *folders]
            program = [str(code / part) for part in PROGRAM]
        settings = {
            'KINGCUPFRONT_SETTINGS': str(self.settings_path),
            'PYTHONPATH': os.pathsep.join(folders),
        }
        self.popen = subprocess.Popen(
            # Without the site module, as deploy/system.toml starts it.
            [sys.executable, '-S', *program],
            stdout=self.output or self.log,
            stderr=self.log,
            env=os.environ | settings,
        )
        # Not before: others run while the process is made.
        self.is_stopping = False

    def signal(self, number):
        """Send a signal to the process that this instance started."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self):
        self.is_stopping = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def restart(self):
        gevent.sleep(RESTART_SECONDS)
        # Another fault may be starting it: others run meanwhile.
        is_up = self.is_running or self._is_starting
        if self.is_wanted and not is_up:
            self.start()

    def stop(self, grace):
        """Tell the process to stop, and kill it after the grace."""
        process = self.popen
        self.is_stopping = True
        self.signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(grace)
        if process.poll() is None:
            process.kill()
            process.wait()

    def get(self, path):
        """Return the status and the body of a call to the readiness port."""
        line = http.client.HTTPConnection(
            self.ip, READY_PORT, timeout=PROBE_SECONDS
        )
        try:
            line.request('GET', path)
            response = line.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b''
        finally:
            line.close()

    def state(self):
        status, body = self.get('/state')
        return json.loads(body) if status == 200 else {}

    def wait_ready(self):
        end = records.now() + START_SECONDS
        while records.now() < end:
            if self.get('/v1/readyz')[0] == 200:
                return
            gevent.sleep(0.1)
        raise AssertionError(f'{self.name} is not ready: {self.tail()}')

    def tail(self):
        return (self.folder / f'{self.name}.log').read_text()[-2000:]

    def close(self):
        self.is_wanted = False
        if self.popen is not None:
            self.kill()
        self.log.close()
        self.store.close()

"""Starts an entry on the platform."""

import runpy
import signal

# By default SIGHUP would end the process; see kingcupfront_platform.__main__.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
runpy.run_module('kingcupfront_platform', run_name='__main__')

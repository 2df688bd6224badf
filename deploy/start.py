"""Starts an entry on the platform."""

import runpy

runpy.run_module('kingcupfront_platform', run_name='__main__')

#!/bin/sh
# Compiles the stand-ins of the cases; they need nothing but Python.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]

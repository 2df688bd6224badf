#!/bin/sh
# Compiles the stand-ins of the cases of the second review; they need nothing
# but Python.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins2
for case in 6 7 8 9 10; do
  if [ -d "$case" ]; then
    python3 -m compileall -q "$case"
  fi
done

"""Run the command as ``python -m kingcupfront_cli``."""

from kingcupfront_cli import main

main.run()

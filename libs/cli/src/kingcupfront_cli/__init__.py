"""The kingcupfront command line."""

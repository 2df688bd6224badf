"""x."""

import typer

app = typer.Typer()


@app.command()
def ask() -> None:
    """Todo."""

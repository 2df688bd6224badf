"""x."""

import typer

app = typer.Typer()


@app.command()
def operators() -> None:
    """Todo."""

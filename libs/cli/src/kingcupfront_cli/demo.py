"""x."""

import typer

app = typer.Typer()


@app.command()
def demo() -> None:
    """Todo."""

"""The command that makes a team's API key."""

import typer

from kingcupfront_core import team_key

app = typer.Typer()


@app.command()
def key() -> None:
    """Make an API key and its hash.

    Give the key to the team and put the hash into the team's object; the
    key itself is kept nowhere.
    """
    fresh = team_key.generate()
    print(f'key:  {fresh}')
    print(f'hash: {team_key.digest(fresh)}')

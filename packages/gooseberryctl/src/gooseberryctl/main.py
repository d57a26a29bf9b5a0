"""Command line `gooseberryctl`."""

import typer

app = typer.Typer(help="Operate gooseberrymux.", no_args_is_help=True)


@app.callback()
def describe() -> None:
    """Operate gooseberrymux by groups, labels and selectors."""


@app.command()
def version() -> None:
    """Prints the version."""
    typer.echo("gooseberryctl 0.1.0")


if __name__ == "__main__":
    app()

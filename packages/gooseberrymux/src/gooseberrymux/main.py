"""Command line of one entry instance: `run` and `check`."""

import signal
from pathlib import Path
from typing import Annotated

import typer

from gooseberrymux import journal
from gooseberrymux.clock import Clock
from gooseberrymux.errors import UserError
from gooseberrymux.kernel import Kernel
from gooseberrymux.settings import Settings, load_settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

app = typer.Typer(help="One entry instance of gooseberrymux.", no_args_is_help=True)
SettingsOption = Annotated[
    Path, typer.Option("--settings", help="Settings file in YAML.")
]


@app.command()
def run(settings: SettingsOption) -> None:
    """Runs one entry instance until it is told to stop."""
    checked = load_or_exit(settings)
    journal.open_journal(instance=checked.instance.name)
    failure = run_instance(checked)
    raise typer.Exit(EXIT_FAILED if failure else EXIT_OK)


@app.command()
def check(settings: SettingsOption) -> None:
    """Checks a settings file and prints what is wrong with it."""
    checked = load_or_exit(settings)
    typer.echo(f"{settings}: ok, instance {checked.instance.name}")


def load_or_exit(path: Path) -> Settings:
    """Returns the settings, or prints what is wrong and exits."""
    try:
        return load_settings(path)
    except UserError as error:
        typer.echo(f"gooseberrymux: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None


def run_instance(settings: Settings) -> str | None:
    """Runs an instance until a signal or a failure; returns the failure or None."""
    clock = Clock()
    kernel = Kernel(settings=settings, clock=clock)
    stopping = []

    def request_stop(number: int, frame: object) -> None:
        stopping.append(number)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    kernel.load(tuple(settings.services))
    kernel.start()
    journal.record_event("instance.started", name=settings.instance.name)
    while not stopping and kernel.failure is None:
        # A signal handler runs only between the main thread's waits.
        kernel.wait_for_failure(500)
    journal.record_event("instance.stopping", failure=kernel.failure)
    kernel.drain(clock.now_ms() + settings.api.drain_timeout_ms)
    kernel.stop()
    journal.record_event("instance.stopped")
    return kernel.failure


if __name__ == "__main__":
    app()

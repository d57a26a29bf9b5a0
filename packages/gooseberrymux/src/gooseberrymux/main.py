"""Command line of one entry instance: `run` and `check`."""

import os
import signal
import socket
from pathlib import Path
from typing import Annotated

import typer

from gooseberrymux import journal
from gooseberrymux.clock import Clock
from gooseberrymux.errors import UserError
from gooseberrymux.kernel import Kernel
from gooseberrymux.log_writer import LogWriter
from gooseberrymux.settings import Settings, load_settings
from gooseberrymux.settings_file import SettingsFile

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
MAX_SIGNAL_BYTES = 16

app = typer.Typer(help="One entry instance of gooseberrymux.", no_args_is_help=True)
SettingsOption = Annotated[
    Path, typer.Option("--settings", help="Settings file in YAML.")
]


@app.command()
def run(settings: SettingsOption) -> None:
    """Runs one entry instance until it is told to stop."""
    checked = load_or_exit(settings)
    clock = Clock()
    log_writer = journal.open_journal(instance=checked.instance.name, clock=clock)
    failure = run_instance(checked, path=settings, clock=clock, log_writer=log_writer)
    log_writer.close()
    raise typer.Exit(EXIT_FAILED if failure else EXIT_OK)


@app.command()
def check(settings: SettingsOption) -> None:
    """Checks a settings file and prints its errors."""
    checked = load_or_exit(settings)
    typer.echo(f"{settings}: ok, instance {checked.instance.name}")


def load_or_exit(path: Path) -> Settings:
    """Returns the settings, or prints their errors and exits."""
    try:
        return load_settings(path)
    except UserError as error:
        typer.echo(f"gooseberrymux: {error}", err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from None


def run_instance(
    settings: Settings, *, path: Path, clock: Clock, log_writer: LogWriter
) -> str | None:
    """Runs an instance until a stop signal or a failure.

    Args:
        settings: The settings read from the file.
        path: The settings file, which is watched for changes.
        clock: The clock.
        log_writer: Closed here if the drain is cut short, since the process then exits
            without returning.

    Returns:
        The failure of the instance; None after a graceful stop.
    """
    kernel = Kernel(settings=settings, clock=clock)
    file = SettingsFile(path=path, kernel=kernel)
    signals = open_signal_socket()
    kernel.spawn(
        name="main.signals", target=lambda: handle_signals(kernel, file, signals)
    )
    kernel.load(tuple(settings.services))
    kernel.start()
    kernel.spawn(name="main.settings", target=file.watch)
    journal.record_event("instance.started", name=settings.instance.name)
    failure = kernel.wait_for_stop()
    journal.record_event("instance.stopping", failure=failure)
    drained = kernel.drain(clock.now_ms() + settings.drain_timeout_ms)
    if not drained:
        journal.record_event("instance.drain_cut_short")
        # Threads may still be busy with requests whose callers no longer wait.
        log_writer.close()
        os._exit(EXIT_FAILED)
    file.stop()
    kernel.stop()
    journal.record_event("instance.stopped")
    return kernel.failure


def open_signal_socket() -> socket.socket:
    """Returns a socket that receives the number of each signal as a byte.

    The byte is written no matter which thread the system interrupts. A Python signal
    handler that took a lock could interrupt the code that holds this lock and deadlock;
    a thread that reads the socket waits for the lock instead.
    """
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    # Detached, so that the descriptor stays open for the life of the process.
    signal.set_wakeup_fd(writer.detach(), warn_on_full_buffer=False)
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, lambda number, frame: None)
    return reader


def handle_signals(kernel: Kernel, file: SettingsFile, signals: socket.socket) -> None:
    """Requests a stop or a reload of the settings file for each signal; blocks."""
    while numbers := signals.recv(MAX_SIGNAL_BYTES):
        for number in numbers:
            name = signal.Signals(number).name
            journal.record_event("instance.signal", name=name)
            if number in STOP_SIGNALS:
                kernel.request_stop()
            elif number == RELOAD_SIGNAL:
                file.request_reload()

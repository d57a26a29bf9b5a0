"""Prints results as text tables for people or as JSON for scripts."""

import enum
import json
from collections.abc import Sequence

import typer


class Format(enum.StrEnum):
    """Output format of results; the value is the argument of --output."""

    TEXT = "text"
    JSON = "json"


class Printer:
    """Prints results on standard output and messages on standard error."""

    __slots__ = ("_format",)

    def __init__(self, *, output: Format):
        self._format = output

    def print_result(self, data: object, *, text: str) -> None:
        """Prints `data` in JSON format, or `text` in text format."""
        match self._format:
            case Format.JSON:
                typer.echo(json.dumps(data, indent=2, sort_keys=True))
            case Format.TEXT:
                typer.echo(text)

    def print_message(self, message: str) -> None:
        """Prints a message on standard error, so that standard output is valid JSON."""
        typer.echo(message, err=True)


def render_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Returns a header line and rows with aligned columns."""
    cells = [[str(cell) for cell in row] for row in [headers, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def render_labels(labels: dict[str, str]) -> str:
    """Returns labels as sorted `key=value` pairs; `-` if there are none."""
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items())) or "-"

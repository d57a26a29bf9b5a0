"""Prints results as text tables for people or as JSON for scripts."""

import enum
import json
from collections.abc import Sequence

import typer


class Format(enum.StrEnum):
    """How results are printed."""

    TEXT = "text"
    JSON = "json"


class Printer:
    """Prints results in one format."""

    __slots__ = ("_format",)

    def __init__(self, *, output: Format):
        self._format = output

    def show(self, data: object, *, text: str) -> None:
        """Prints `data` as JSON, or `text` for people."""
        match self._format:
            case Format.JSON:
                typer.echo(json.dumps(data, indent=2, sort_keys=True))
            case Format.TEXT:
                typer.echo(text)

    def note(self, message: str) -> None:
        """Prints a remark on standard error, so that JSON output stays clean."""
        typer.echo(message, err=True)


def render_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Returns aligned columns under a header line."""
    cells = [[str(cell) for cell in row] for row in [headers, *rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def render_labels(labels: dict[str, str]) -> str:
    """Returns labels as `key=value` pairs."""
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items())) or "-"

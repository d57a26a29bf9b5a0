"""Command line `gooseberryctl`: the commands, their options and exit codes."""

import dataclasses
from pathlib import Path
from typing import Annotated

import typer

from gooseberryctl import views
from gooseberryctl.changes import EXIT_DENIED, EXIT_FAILED, Session
from gooseberryctl.client import Client, DeniedError
from gooseberryctl.files import create_edits, describe_difference, read_file
from gooseberryctl.output import Format, Printer
from gooseberrymux.clock import Clock
from gooseberrymux.errors import UserError

app = typer.Typer(
    help="Operate gooseberrymux by groups, labels and selectors.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
group_app = typer.Typer(help="Groups of upstreams.", no_args_is_help=True)
selector_app = typer.Typer(
    help="Selectors: which traffic may reach which groups.", no_args_is_help=True
)
app.add_typer(group_app, name="group")
app.add_typer(selector_app, name="selector")

Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until it is in force on all instances.")
]
Timeout = Annotated[int, typer.Option(help="Longest wait in milliseconds.")]
Unreachable = Annotated[
    bool,
    typer.Option("--allow-unreachable", help="A rank may lose its last upstream."),
]
Labels = Annotated[
    list[str] | None, typer.Option("--label", help="KEY=VALUE; may be repeated.")
]


@app.callback()
def open_session(
    context: typer.Context,
    server: Annotated[
        list[str],
        typer.Option(
            envvar="GOOSEBERRYCTL_SERVERS",
            help="Administration URL of an instance; several are tried in turn.",
        ),
    ],
    token: Annotated[
        str, typer.Option(envvar="GOOSEBERRYCTL_TOKEN", help="Operator's token.")
    ] = "",
    output: Annotated[Format, typer.Option(help="text or json.")] = Format.TEXT,
) -> None:
    """Operate gooseberrymux by groups, labels and selectors."""
    clock = Clock()
    context.obj = Session(
        client=Client(servers=tuple(server), token=token, clock=clock),
        clock=clock,
        printer=Printer(output=output),
    )


@group_app.command("list")
def list_groups(context: typer.Context) -> None:
    """Lists the groups."""
    session: Session = context.obj
    groups = session.read_configuration()["groups"]
    session.printer.show(groups, text=views.render_groups(groups))


@group_app.command("show")
def show_group(context: typer.Context, name: str) -> None:
    """Shows one group."""
    show_object(context.obj, "group", name)


@group_app.command("set")
def set_group(
    context: typer.Context,
    name: str,
    *,
    index: Annotated[str | None, typer.Option(help="Index that it serves.")] = None,
    match: Annotated[
        list[str] | None, typer.Option(help="KEY=VALUE that upstreams must have.")
    ] = None,
    label: Labels = None,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
    allow_unreachable: Unreachable = False,
) -> None:
    """Creates a group or changes the fields that are given."""
    session: Session = context.obj
    current = session.read_configuration()
    value = session.find_object(current, "group", name) or {"name": name}
    if index is not None:
        value["index"] = index
    if match is not None:
        value["match"] = parse_labels(match)
    if label is not None:
        value["labels"] = parse_labels(label)
    session.put_object(
        current,
        kind="group",
        value=value,
        wait_ms=timeout_ms if wait else None,
        allow_unreachable=allow_unreachable,
    )


@group_app.command("remove")
def remove_group(
    context: typer.Context,
    name: str,
    *,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
    allow_unreachable: Unreachable = False,
) -> None:
    """Removes a group that no selector names."""
    session: Session = context.obj
    session.remove_object(
        "group", name, timeout_ms if wait else None, allow_unreachable
    )


@group_app.command("label")
def label_group(
    context: typer.Context,
    name: str,
    labels: Annotated[
        list[str], typer.Argument(help="KEY=VALUE to set, KEY- to drop.")
    ],
    *,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
) -> None:
    """Sets and drops labels of a group."""
    session: Session = context.obj
    current = session.read_configuration()
    value = session.require_object(current, "group", name)
    value["labels"] = change_labels(value.get("labels", {}), labels)
    session.put_object(
        current, kind="group", value=value, wait_ms=timeout_ms if wait else None
    )


@selector_app.command("list")
def list_selectors(context: typer.Context) -> None:
    """Lists the selectors, the first to win on top."""
    session: Session = context.obj
    selectors = session.read_configuration()["selectors"]
    session.printer.show(selectors, text=views.render_selectors(selectors))


@selector_app.command("show")
def show_selector(context: typer.Context, name: str) -> None:
    """Shows one selector."""
    show_object(context.obj, "selector", name)


@selector_app.command("set")
def set_selector(
    context: typer.Context,
    name: str,
    *,
    priority: Annotated[int | None, typer.Option(help="The highest wins.")] = None,
    group: Annotated[list[str] | None, typer.Option(help="May be repeated.")] = None,
    caller: Annotated[list[str] | None, typer.Option(help="May be repeated.")] = None,
    service: Annotated[list[str] | None, typer.Option(help="May be repeated.")] = None,
    rank: Annotated[list[str] | None, typer.Option(help="May be repeated.")] = None,
    label: Labels = None,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
    allow_unreachable: Unreachable = False,
) -> None:
    """Creates a selector or changes the fields that are given."""
    session: Session = context.obj
    current = session.read_configuration()
    value = session.find_object(current, "selector", name) or {"name": name}
    given = {
        "priority": priority,
        "groups": group,
        "callers": caller,
        "services": service,
        "ranks": rank,
        "labels": None if label is None else parse_labels(label),
    }
    value.update({key: field for key, field in given.items() if field is not None})
    session.put_object(
        current,
        kind="selector",
        value=value,
        wait_ms=timeout_ms if wait else None,
        allow_unreachable=allow_unreachable,
    )


@selector_app.command("remove")
def remove_selector(
    context: typer.Context,
    name: str,
    *,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
    allow_unreachable: Unreachable = False,
) -> None:
    """Removes a selector."""
    session: Session = context.obj
    session.remove_object(
        "selector", name, timeout_ms if wait else None, allow_unreachable
    )


@app.command()
def diff(
    context: typer.Context,
    file: Path,
    *,
    prune: Annotated[
        bool, typer.Option("--prune", help="Also remove what the file lacks.")
    ] = False,
) -> None:
    """Shows what `apply` would change."""
    session: Session = context.obj
    current = session.read_configuration()
    edits = create_edits(current=current, wanted=read_file(file), prune=prune)
    session.printer.show(
        [dataclasses.asdict(edit) for edit in edits],
        text=describe_difference(current=current, edits=edits) or "no difference",
    )


@app.command()
def apply(
    context: typer.Context,
    file: Path,
    *,
    prune: Annotated[
        bool, typer.Option("--prune", help="Also remove what the file lacks.")
    ] = False,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Check on the server, change nothing.")
    ] = False,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
    allow_unreachable: Unreachable = False,
) -> None:
    """Brings the configuration to what a YAML file says, all or nothing."""
    session: Session = context.obj
    wanted = read_file(file)
    current = session.read_configuration()
    edits = create_edits(current=current, wanted=wanted, prune=prune)
    if not edits:
        session.printer.show({"changed": False}, text="no difference")
        return
    session.printer.note(describe_difference(current=current, edits=edits))
    session.change(
        base_generation=current["generation"],
        edits=edits,
        wait_ms=timeout_ms if wait and not dry_run else None,
        allow_unreachable=allow_unreachable,
        dry_run=dry_run,
        source=wanted,
    )


@app.command()
def status(context: typer.Context) -> None:
    """Shows the instances: state, generation in force, documents."""
    session: Session = context.obj
    found = session.client.get("/v1/status")
    session.printer.show(found, text=views.render_status(found))


@app.command()
def upstreams(context: typer.Context) -> None:
    """Shows the upstreams: owner, state, slots, queue by rank."""
    session: Session = context.obj
    found = session.client.get("/v1/upstreams")
    session.printer.show(found, text=views.render_upstreams(found))


@app.command()
def drain(
    context: typer.Context,
    upstream: str,
    *,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
) -> None:
    """Stops new work for an upstream; work in flight finishes."""
    session: Session = context.obj
    session.set_drain(upstream, draining=True, wait_ms=timeout_ms if wait else None)


@app.command()
def undrain(
    context: typer.Context,
    upstream: str,
    *,
    wait: Wait = False,
    timeout_ms: Timeout = 15_000,
) -> None:
    """Lets an upstream have new work again."""
    session: Session = context.obj
    session.set_drain(upstream, draining=False, wait_ms=timeout_ms if wait else None)


@app.command()
def explain(
    context: typer.Context,
    *,
    service: Annotated[str, typer.Option(help="Service that the traffic names.")],
    rank: Annotated[str, typer.Option(help="urgent, standard or patient.")],
    caller: Annotated[str, typer.Option(help="Caller.")] = "anonymous",
    label: Labels = None,
) -> None:
    """Shows which groups and upstreams some traffic reaches, and by which selector."""
    session: Session = context.obj
    parse_labels(label or [])
    found = session.client.get(
        "/v1/explain", caller=caller, service=service, rank=rank, label=label or []
    )
    session.printer.show(found, text=views.render_explanation(found))


def show_object(session: Session, kind: str, name: str) -> None:
    """Prints one object of the configuration in force."""
    value = session.require_object(session.read_configuration(), kind, name)
    session.printer.show(value, text=views.render_object(value))


def parse_labels(pairs: list[str]) -> dict[str, str]:
    """Returns labels given as KEY=VALUE.

    Raises:
        typer.BadParameter: A pair has no key or no equals sign.
    """
    labels = {}
    for pair in pairs:
        key, equals, value = pair.partition("=")
        if not key or not equals:
            raise typer.BadParameter(f"{pair!r}: expected KEY=VALUE")
        labels[key] = value
    return labels


def change_labels(labels: dict[str, str], changes: list[str]) -> dict[str, str]:
    """Returns labels with KEY=VALUE set and KEY- dropped."""
    dropped = {change[:-1] for change in changes if change.endswith("-")}
    kept = {key: value for key, value in labels.items() if key not in dropped}
    return kept | parse_labels([item for item in changes if not item.endswith("-")])


def main() -> None:
    """Runs the command line; an error for the user is one line."""
    try:
        app()
    except DeniedError as error:
        typer.echo(f"gooseberryctl: {error}", err=True)
        raise SystemExit(EXIT_DENIED) from None
    except UserError as error:
        typer.echo(f"gooseberryctl: {error}", err=True)
        raise SystemExit(EXIT_FAILED) from None


if __name__ == "__main__":
    main()

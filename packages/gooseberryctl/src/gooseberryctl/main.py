"""Command line `gooseberryctl`: the commands, their options and exit codes."""

import dataclasses
from pathlib import Path
from typing import Annotated

import typer

from gooseberryctl import views
from gooseberryctl.changes import EXIT_DENIED, EXIT_FAILED, Session
from gooseberryctl.client import Client, DeniedError
from gooseberryctl.files import create_edits, read_file, render_diff
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

WaitOption = Annotated[
    bool,
    typer.Option("--wait", help="Wait until the change is in force on all instances."),
]
TimeoutOption = Annotated[int, typer.Option(help="Timeout of --wait in milliseconds.")]
AllowUnreachableOption = Annotated[
    bool,
    typer.Option(
        "--allow-unreachable",
        help="Accept that some traffic is left without an upstream.",
    ),
]
LabelOption = Annotated[
    list[str] | None, typer.Option("--label", help="Label KEY=VALUE; may be repeated.")
]


@app.callback()
def open_session(
    context: typer.Context,
    server: Annotated[
        list[str],
        typer.Option(
            envvar="GOOSEBERRYCTL_SERVERS",
            help="Administration URL of an instance; may be repeated, tried in turn.",
        ),
    ],
    token: Annotated[
        str, typer.Option(envvar="GOOSEBERRYCTL_TOKEN", help="Operator's token.")
    ] = "",
    output: Annotated[
        Format, typer.Option(help="Output format: text or json.")
    ] = Format.TEXT,
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
    session.printer.print_result(groups, text=views.render_groups(groups))


@group_app.command("show")
def show_group(context: typer.Context, name: str) -> None:
    """Shows one group."""
    show_object(context.obj, "group", name)


@group_app.command("set")
def set_group(
    context: typer.Context,
    name: str,
    *,
    index: Annotated[
        str | None, typer.Option(help="Index that the group serves.")
    ] = None,
    match: Annotated[
        list[str] | None, typer.Option(help="Label KEY=VALUE that upstreams must have.")
    ] = None,
    label: LabelOption = None,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
    allow_unreachable: AllowUnreachableOption = False,
) -> None:
    """Creates a group, or changes the given fields of an existing one."""
    session: Session = context.obj
    current = session.read_configuration()
    group = session.find_object(current, "group", name) or {"name": name}
    if index is not None:
        group["index"] = index
    if match is not None:
        group["match"] = parse_labels(match)
    if label is not None:
        group["labels"] = parse_labels(label)
    session.put_object(
        current,
        kind="group",
        value=group,
        wait_ms=timeout_ms if wait else None,
        allow_unreachable=allow_unreachable,
    )


@group_app.command("remove")
def remove_group(
    context: typer.Context,
    name: str,
    *,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
    allow_unreachable: AllowUnreachableOption = False,
) -> None:
    """Removes a group; refused while a selector names it."""
    session: Session = context.obj
    session.remove_object(
        "group", name, timeout_ms if wait else None, allow_unreachable
    )


@group_app.command("label")
def label_group(
    context: typer.Context,
    name: str,
    labels: Annotated[
        list[str], typer.Argument(help="KEY=VALUE to set a label, KEY- to remove it.")
    ],
    *,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
) -> None:
    """Sets and removes labels of a group."""
    session: Session = context.obj
    current = session.read_configuration()
    group = session.require_object(current, "group", name)
    group["labels"] = change_labels(group.get("labels", {}), labels)
    session.put_object(
        current, kind="group", value=group, wait_ms=timeout_ms if wait else None
    )


@selector_app.command("list")
def list_selectors(context: typer.Context) -> None:
    """Lists the selectors, the highest priority first."""
    session: Session = context.obj
    selectors = session.read_configuration()["selectors"]
    session.printer.print_result(selectors, text=views.render_selectors(selectors))


@selector_app.command("show")
def show_selector(context: typer.Context, name: str) -> None:
    """Shows one selector."""
    show_object(context.obj, "selector", name)


@selector_app.command("set")
def set_selector(
    context: typer.Context,
    name: str,
    *,
    priority: Annotated[
        int | None,
        typer.Option(help="Of the selectors that match, the highest decides."),
    ] = None,
    group: Annotated[
        list[str] | None,
        typer.Option(help="Group that the traffic may reach; may be repeated."),
    ] = None,
    caller: Annotated[
        list[str] | None, typer.Option(help="Caller to match; may be repeated.")
    ] = None,
    service: Annotated[
        list[str] | None, typer.Option(help="Service to match; may be repeated.")
    ] = None,
    rank: Annotated[
        list[str] | None, typer.Option(help="Rank to match; may be repeated.")
    ] = None,
    label: LabelOption = None,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
    allow_unreachable: AllowUnreachableOption = False,
) -> None:
    """Creates a selector, or changes the given fields of an existing one."""
    session: Session = context.obj
    current = session.read_configuration()
    selector = session.find_object(current, "selector", name) or {"name": name}
    options = {
        "priority": priority,
        "groups": group,
        "callers": caller,
        "services": service,
        "ranks": rank,
        "labels": None if label is None else parse_labels(label),
    }
    selector.update({key: item for key, item in options.items() if item is not None})
    session.put_object(
        current,
        kind="selector",
        value=selector,
        wait_ms=timeout_ms if wait else None,
        allow_unreachable=allow_unreachable,
    )


@selector_app.command("remove")
def remove_selector(
    context: typer.Context,
    name: str,
    *,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
    allow_unreachable: AllowUnreachableOption = False,
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
        bool,
        typer.Option("--prune", help="Also remove objects that are not in the file."),
    ] = False,
) -> None:
    """Shows what `apply` would change."""
    session: Session = context.obj
    current = session.read_configuration()
    edits = create_edits(current=current, wanted=read_file(file), prune=prune)
    session.printer.print_result(
        [dataclasses.asdict(edit) for edit in edits],
        text=render_diff(current=current, edits=edits) or "no difference",
    )


@app.command()
def apply(
    context: typer.Context,
    file: Path,
    *,
    prune: Annotated[
        bool,
        typer.Option("--prune", help="Also remove objects that are not in the file."),
    ] = False,
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Only validate the change on the server.")
    ] = False,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
    allow_unreachable: AllowUnreachableOption = False,
) -> None:
    """Makes the configuration match a YAML file; all edits are applied or none."""
    session: Session = context.obj
    wanted = read_file(file)
    current = session.read_configuration()
    edits = create_edits(current=current, wanted=wanted, prune=prune)
    if not edits:
        session.printer.print_result({"changed": False}, text="no difference")
        return
    session.printer.print_message(render_diff(current=current, edits=edits))
    session.propose_edits(
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
    body = session.client.get("/v1/status")
    session.printer.print_result(body, text=views.render_status(body))


@app.command()
def upstreams(context: typer.Context) -> None:
    """Shows the upstreams: owner, state, slots, queue length by rank."""
    session: Session = context.obj
    body = session.client.get("/v1/upstreams")
    session.printer.print_result(body, text=views.render_upstreams(body))


@app.command()
def drain(
    context: typer.Context,
    upstream: str,
    *,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
) -> None:
    """Sends no new requests to an upstream; those in flight finish."""
    session: Session = context.obj
    session.set_drain(upstream, draining=True, wait_ms=timeout_ms if wait else None)


@app.command()
def undrain(
    context: typer.Context,
    upstream: str,
    *,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
) -> None:
    """Ends the drain of an upstream, so that it receives new requests again."""
    session: Session = context.obj
    session.set_drain(upstream, draining=False, wait_ms=timeout_ms if wait else None)


@app.command()
def evacuate(
    context: typer.Context,
    domain: str,
    *,
    cancel: Annotated[
        bool, typer.Option("--cancel", help="End the evacuation of the domain.")
    ] = False,
    wait: WaitOption = False,
    timeout_ms: TimeoutOption = 15_000,
    allow_unreachable: AllowUnreachableOption = False,
) -> None:
    """Sends no requests into a failure domain; those in flight finish."""
    session: Session = context.obj
    session.set_evacuation(
        domain,
        evacuated=not cancel,
        wait_ms=timeout_ms if wait else None,
        allow_unreachable=allow_unreachable,
    )


@app.command()
def explain(
    context: typer.Context,
    *,
    service: Annotated[str, typer.Option(help="Service of the traffic.")],
    rank: Annotated[
        str, typer.Option(help="Rank of the traffic: urgent, standard or patient.")
    ],
    caller: Annotated[str, typer.Option(help="Caller of the traffic.")] = "anonymous",
    label: LabelOption = None,
) -> None:
    """Shows the groups and upstreams that traffic reaches, and the selector used."""
    session: Session = context.obj
    # Called only for its error, so that a malformed label is refused here.
    parse_labels(label or [])
    explanation = session.client.get(
        "/v1/explain", caller=caller, service=service, rank=rank, label=label or []
    )
    session.printer.print_result(
        explanation, text=views.render_explanation(explanation)
    )


def show_object(session: Session, kind: str, name: str) -> None:
    """Prints one object of the configuration in force."""
    value = session.require_object(session.read_configuration(), kind, name)
    session.printer.print_result(value, text=views.render_object(value))


def parse_labels(pairs: list[str]) -> dict[str, str]:
    """Returns the labels of KEY=VALUE pairs; the last of several equal keys counts.

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
    """Returns labels after the changes KEY=VALUE (set) and KEY- (remove).

    Raises:
        typer.BadParameter: A change has neither form.
    """
    removed = {change[:-1] for change in changes if change.endswith("-")}
    kept = {key: value for key, value in labels.items() if key not in removed}
    return kept | parse_labels([item for item in changes if not item.endswith("-")])


def main() -> None:
    """Runs the command line; prints a `UserError` as one line without a traceback."""
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

"""Renders replies of the administration API as text."""

import yaml

from gooseberryctl.output import render_labels, render_table
from gooseberrymux.clock import MS_PER_S

RANKS = ("urgent", "standard", "patient")


def render_groups(groups: list[dict]) -> str:
    """Returns the groups as a table."""
    return render_table(
        ("NAME", "INDEX", "MATCH", "LABELS"),
        [
            (
                group["name"],
                group["index"],
                render_labels(group.get("match", {})),
                render_labels(group.get("labels", {})),
            )
            for group in groups
        ],
    )


def render_selectors(selectors: list[dict]) -> str:
    """Returns the selectors as a table, the highest priority first."""
    ordered = sorted(selectors, key=lambda item: (-item["priority"], item["name"]))
    return render_table(
        ("PRIORITY", "NAME", "CALLERS", "SERVICES", "RANKS", "LABELS", "GROUPS"),
        [
            (
                selector["priority"],
                selector["name"],
                render_names(selector.get("callers")),
                render_names(selector.get("services")),
                render_names(selector.get("ranks")),
                render_labels(selector.get("labels", {})),
                render_names(selector["groups"]),
            )
            for selector in ordered
        ],
    )


def render_names(names: list[str] | None) -> str:
    """Returns names joined by commas; `*` for no names, which match everything."""
    return ",".join(names) if names else "*"


def render_object(value: dict) -> str:
    """Returns one object as YAML."""
    return yaml.safe_dump(value, sort_keys=False).rstrip()


def render_status(status: dict) -> str:
    """Returns the instances as a table, the evacuations and who did not answer."""
    table = render_table(
        (
            "INSTANCE",
            "STATE",
            "GENERATION",
            "PROOF AGE",
            "WORKSPACES",
            "INCARNATION",
        ),
        [
            (
                instance["name"],
                instance.get("state", "?"),
                instance.get("generation", "?"),
                render_age(instance.get("proof_age_ms")),
                render_workspace_count(instance),
                instance.get("incarnation", "?"),
            )
            for instance in status.get("instances", [])
        ],
    )
    lines = [table]
    total = len(status.get("instances", []))
    for domain, count in status.get("evacuations", {}).items():
        lines.append(f"evacuated: {domain}, on {count} of {total} instances")
    if silent := status.get("silent", []):
        lines.append(f"no answer from: {', '.join(silent)}")
    return "\n".join(lines)


def render_age(age_ms: float | None) -> str:
    """Returns an age in seconds; `?` if an instance does not report it."""
    return "?" if age_ms is None else f"{age_ms / MS_PER_S:.1f} s"


def render_workspace_count(instance: dict) -> str:
    """Returns the number of workspaces in force; `-` without a service `routes`."""
    match instance:
        case {"services": {"routes": {"workspaces": int(count)}}}:
            return str(count)
        case _:
            return "-"


def render_upstreams(body: dict) -> str:
    """Returns the upstreams of a `/v1/upstreams` reply as a table."""
    return render_table(
        ("UPSTREAM", "SERVICE", "OWNER", "STATE", "SLOTS", "QUEUE U/S/P"),
        [
            (
                upstream["name"],
                upstream.get("service", "?"),
                upstream.get("owner") or "-",
                render_upstream_state(upstream),
                upstream.get("slots", "?"),
                render_queue_lengths(upstream.get("queue")),
            )
            for upstream in body.get("upstreams", [])
        ],
    )


def render_upstream_state(upstream: dict) -> str:
    """Returns why an upstream gets no new work, or its state in the list."""
    if upstream.get("evacuated"):
        return "evacuated"
    return "draining" if upstream.get("draining") else upstream.get("state", "?")


def render_queue_lengths(queue: dict | None) -> str:
    """Returns queue lengths in the order of `RANKS`; `-` if none were reported."""
    if not queue:
        return "-"
    return "/".join(str(queue.get(rank, 0)) for rank in RANKS)


def render_explanation(explanation: dict) -> str:
    """Returns the explanation of how traffic is routed as YAML."""
    return yaml.safe_dump(explanation, sort_keys=False).rstrip()

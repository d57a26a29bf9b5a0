"""Text views of what the administration API returns."""

import yaml

from gooseberryctl.output import render_labels, render_table

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
    ordered = sorted(selectors, key=lambda found: (-found["priority"], found["name"]))
    return render_table(
        ("PRIORITY", "NAME", "CALLERS", "SERVICES", "RANKS", "LABELS", "GROUPS"),
        [
            (
                found["priority"],
                found["name"],
                render_names(found.get("callers")),
                render_names(found.get("services")),
                render_names(found.get("ranks")),
                render_labels(found.get("labels", {})),
                render_names(found["groups"]),
            )
            for found in ordered
        ],
    )


def render_names(names: list[str] | None) -> str:
    """Returns names joined by commas; `*` for no limit."""
    return ",".join(names) if names else "*"


def render_object(value: dict) -> str:
    """Returns one object as YAML."""
    return yaml.safe_dump(value, sort_keys=False).rstrip()


def render_status(status: dict) -> str:
    """Returns the instances as a table, and who did not answer."""
    table = render_table(
        ("INSTANCE", "STATE", "GENERATION", "INCARNATION"),
        [
            (
                found["name"],
                found.get("state", "?"),
                found.get("generation", "?"),
                found.get("incarnation", "?"),
            )
            for found in status.get("instances", [])
        ],
    )
    silent = status.get("silent", [])
    return f"{table}\nno answer from: {', '.join(silent)}" if silent else table


def render_upstreams(found: dict) -> str:
    """Returns the upstreams as a table."""
    return render_table(
        ("UPSTREAM", "SERVICE", "OWNER", "STATE", "SLOTS", "QUEUE U/S/P"),
        [
            (
                upstream["name"],
                upstream.get("service", "?"),
                upstream.get("owner") or "-",
                "draining" if upstream.get("draining") else upstream.get("state", "?"),
                upstream.get("slots", "?"),
                render_queue(upstream.get("queue")),
            )
            for upstream in found.get("upstreams", [])
        ],
    )


def render_queue(queue: dict | None) -> str:
    """Returns queue lengths by rank; `-` if the owner reported none."""
    if not queue:
        return "-"
    return "/".join(str(queue.get(rank, 0)) for rank in RANKS)


def render_explanation(found: dict) -> str:
    """Returns an explanation of a resolution as YAML."""
    return yaml.safe_dump(found, sort_keys=False).rstrip()

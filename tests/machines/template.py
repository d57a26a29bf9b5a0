"""Fills in a settings template by the rules that the users' platform publishes."""

import json
import re

SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
PLACEHOLDER = re.compile(r"{{([\w.@,]+)(\|json)?}}")


def look_up(name, scopes):
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdecimal():
                value = value[int(part)]
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def show(value, as_json):
    if as_json:
        return json.dumps(value)
    match value:
        case None:
            return ""
        case list():
            return ",".join(str(item) for item in value)
        case dict():
            return json.dumps(value)
        case bool():
            return str(value).lower()
        case _:
            return str(value)


def render(text, fields, scopes=()):
    """Returns a template with its sections and placeholders filled in."""
    scopes = (*scopes, fields)

    def fill_section(match):
        kind, name, inner = match.groups()
        value = look_up(name, scopes)
        if kind == "^":
            return render(inner, fields, scopes[:-1]) if not value else ""
        if not value:
            return ""
        if not isinstance(value, list | dict):
            return render(inner, fields, scopes[:-1])
        entries = (
            list(enumerate(value)) if isinstance(value, list) else list(value.items())
        )
        parts = []
        for place, (key, item) in enumerate(entries):
            last = place == len(entries) - 1
            part = inner.replace("{{,}}", "" if last else ",")
            part = part.replace("{{@}}", str(key))
            part = part.replace("{{.|json}}", json.dumps(item))
            part = part.replace("{{.}}", show(item, False))
            inner_scope = (item,) if isinstance(item, dict) else ()
            parts.append(render(part, fields, (*inner_scope, *scopes[:-1])))
        return "".join(parts)

    text = SECTION.sub(fill_section, text)
    return PLACEHOLDER.sub(
        lambda match: show(look_up(match.group(1), scopes), bool(match.group(2))), text
    )

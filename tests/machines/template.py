"""Renders a settings template by the rules that the users' platform publishes."""

import json
import re

SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
PLACEHOLDER = re.compile(r"{{([\w.@,]+)(\|json)?}}")


def resolve(name, scopes):
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


def format_value(value, as_json):
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
    """Returns a template with its sections and placeholders replaced.

    `scopes` are the items of the enclosing sections, innermost first; a name is looked
    up in them before `fields`.
    """
    scopes = (*scopes, fields)

    def fill_section(match):
        kind, name, section = match.groups()
        value = resolve(name, scopes)
        if kind == "^":
            return render(section, fields, scopes[:-1]) if not value else ""
        if not value:
            return ""
        if not isinstance(value, list | dict):
            return render(section, fields, scopes[:-1])
        entries = (
            list(enumerate(value)) if isinstance(value, list) else list(value.items())
        )
        rendered = []
        for index, (key, item) in enumerate(entries):
            last = index == len(entries) - 1
            part = section.replace("{{,}}", "" if last else ",")
            part = part.replace("{{@}}", str(key))
            part = part.replace("{{.|json}}", json.dumps(item))
            part = part.replace("{{.}}", format_value(item, False))
            inner_scope = (item,) if isinstance(item, dict) else ()
            rendered.append(render(part, fields, (*inner_scope, *scopes[:-1])))
        return "".join(rendered)

    text = SECTION.sub(fill_section, text)
    return PLACEHOLDER.sub(
        lambda match: format_value(
            resolve(match.group(1), scopes), bool(match.group(2))
        ),
        text,
    )

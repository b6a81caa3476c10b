"""Fills in the settings template of the deploy file, as the platform does:
values, sections, inverted sections and separators."""

from __future__ import annotations

import json
import re

TAG = re.compile(r"\{\{([#^/]?)\s*([^}]*?)\s*\}\}")


def _look_up(scopes: list, path: str):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def _text(value) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_text(v) for v in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def _section_end(template: str, start: int, name: str) -> tuple[int, int]:
    depth = 1
    for tag in TAG.finditer(template, start):
        if tag.group(2) != name or not tag.group(1):
            continue
        depth += -1 if tag.group(1) == "/" else 1
        if depth == 0:
            return tag.start(), tag.end()
    raise ValueError(f"section {name} has no end")


def render(template: str, scopes: list, is_last: bool = True) -> str:
    """Returns the template with its placeholders filled in."""
    result = []
    at = 0
    while tag := TAG.search(template, at):
        result.append(template[at:tag.start()])
        kind, name = tag.groups()
        at = tag.end()
        if not kind:
            if name == ",":
                result.append("" if is_last else ",")
            else:
                result.append(_text(_look_up(scopes, name)))
            continue
        end, after = _section_end(template, at, name)
        inner = template[at:end]
        at = after
        value = _look_up(scopes, name)
        if kind == "^":
            if not value:
                result.append(render(inner, scopes, is_last))
        elif isinstance(value, list):
            for index, entry in enumerate(value):
                result.append(render(inner, [*scopes, entry],
                                     index == len(value) - 1))
        elif value:
            result.append(render(inner, scopes, is_last))
    result.append(template[at:])
    return "".join(result)

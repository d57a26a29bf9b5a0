"""Decodes JSON although single values in it can't be decoded.

Other programs write to the lists that this instance reads. One value that is nested too
deeply, too long a number or not UTF-8 must not make the whole list unreadable.
"""

import json
import re
from typing import Any

from gooseberrymux import metrics

# Lists of the platform nest about ten levels deep; Python decodes about 990.
NESTING_DEPTH_LIMIT = 64
# Python decodes integers of up to 4,300 digits.
NUMBER_LENGTH_LIMIT = 1_000
TOKEN_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]|-?[0-9][0-9.eE+-]*', re.DOTALL)
REPLACEMENT = "null"


def decode_json(data: bytes | bytearray) -> Any:
    """Returns the decoded value, with null in place of values that can't be decoded.

    Raises:
        ValueError: The data is not JSON.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = replace_undecodable(data.decode("utf-8", errors="replace"))
    try:
        decoded = json.loads(text)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    metrics.dropped_total.inc({"reason": "undecodable_value"})
    return decoded


def replace_undecodable(text: str) -> str:
    """Returns JSON with null in place of values that are too deep or too long."""
    kept: list[str] = []
    copied_to = 0
    depth = 0
    for match in TOKEN_PATTERN.finditer(text):
        first = match[0][0]
        if first in "[{":
            depth += 1
            if depth == NESTING_DEPTH_LIMIT + 1:
                kept += (text[copied_to : match.start()], REPLACEMENT)
        elif first in "]}":
            if depth == NESTING_DEPTH_LIMIT + 1:
                copied_to = match.end()
            depth -= 1
        elif (
            first != '"'
            and depth <= NESTING_DEPTH_LIMIT
            and len(match[0]) > NUMBER_LENGTH_LIMIT
        ):
            kept += (text[copied_to : match.start()], REPLACEMENT)
            copied_to = match.end()
    kept.append(text[copied_to:])
    return "".join(kept)

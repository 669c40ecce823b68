"""Writes a resolved record as text that resolves to the same record."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# Names of fields (last component of the path) by kind; each is written with the unit of its kind.
DURATION_FIELDS = frozenset(
    (
        "promised", "client_timeout", "repeat_window", "travel", "drain_grace", "cold_time", "cold_fall",
        "order_rest", "window", "longest_advice", "dial_timeout", "idle", "period",
        "hold_time", "retry", "idle_wait", "loop_late", "list_age", "lasts", "rest", "longest_rest", "ease",
        "last_choice", "withdrawn", "unread", "beat", "quiet", "let_go", "clock_bound", "ahead", "shift",
        "life", "doubt", "silence", "sole", "clear", "longest_clear", "turn", "well", "step", "hold", "lend",
        "notice",
    )
)  # fmt: skip
SIZE_FIELDS = frozenset(["unit", "entry", "channel", "bytes", "largest", "catch_up"])
RATE_FIELDS = frozenset(["rate", "reserve", "limit", "sample", "probes", "cold", "full"])


def write(record: Mapping[str, Any], depth: int = 0) -> str:
    """Formats a resolved record as text that resolves to the same record; `depth`: level of indentation."""
    indent = "\t" * depth
    return "".join(f"{indent}{name}: {_text(name, value, depth)}\n" for name, value in record.items())


def _text(name: str, value: Any, depth: int) -> str:
    indent = "\t" * depth
    if isinstance(value, Mapping):
        return "{\n" + write(value, depth + 1) + indent + "}"
    if isinstance(value, list | tuple):
        if not value:
            return "[]"
        inner = "".join(f"{indent}\t{_text(name, item, depth + 1)},\n" for item in value)
        return "[\n" + inner + indent + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'
    if value is None:
        return "null"
    if name in DURATION_FIELDS:
        return f"{_number(value)}ms"
    if name in SIZE_FIELDS:
        return f"{_number(value)}B"
    if name in RATE_FIELDS:
        return f"{_number(value)}/s"
    return _number(value)


def _number(value: float) -> str:
    if isinstance(value, int):
        return str(value)
    return f"{value:.9f}".rstrip("0").rstrip(".")

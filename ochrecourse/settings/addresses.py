"""Parses addresses in settings, which have the form HOST:PORT."""

from __future__ import annotations

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int] | None:
    """Parses HOST:PORT and strips the brackets of an IPv6 host; returns None if the text has another form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        return None
    return host.strip("[]"), int(port)

"""Addresses in settings, of the form HOST:PORT."""

from __future__ import annotations

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int] | None:
    """Host and port of HOST:PORT, without the brackets of an IPv6 host; None if it is not of that form."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        return None
    return host.strip("[]"), int(port)

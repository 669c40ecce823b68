"""Validates the section `fleet`: names and addresses of peers are unique, dependent time spans are
consistent.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from ochrecourse.settings.addresses import parse_address
from ochrecourse.settings.problems import Problem

MAX_NAME_BYTES = 64  # of a gateway's or a fleet's name, which is part of each log entry and heartbeat


def fleet_problems(record: Mapping[str, Any]) -> Iterator[Problem]:
    """Yields the problems in the section `fleet` of a settings record, if it has one."""
    if "fleet" not in record:
        return
    fleet = record["fleet"]
    own_name = record["gateway"]["name"]
    has_registry = bool(record.get("registry", {}).get("own"))
    yield from _peers(fleet["peers"], own_name, has_registry)
    if parse_address(fleet["listen"]) is None:
        yield Problem("fleet.listen", f"is {fleet['listen']!r}; an address is HOST:PORT")
    yield from _names(fleet, own_name)
    if fleet["quiet"] < 2 * fleet["beat"]:
        # With a shorter time gateways would count each other as unreachable between two heartbeats.
        yield Problem("fleet.quiet", "is shorter than two of fleet.beat")
    if "zones" in fleet and len(record["zones"]) < 2:
        yield Problem("fleet.zones", "is there, but zones names fewer than two: none can be left")
    if fleet["let_go"] < fleet["quiet"]:
        yield Problem("fleet.let_go", "is shorter than fleet.quiet")


def _peers(peers: list[Mapping[str, Any]], own_name: str, has_registry: bool) -> Iterator[Problem]:
    """Yields problems with peers. `has_registry`: gateways register there, so addresses may be omitted."""
    first_path: dict[tuple[str, str], str] = {}  # path of the first use of each name and address
    for i, peer in enumerate(peers):
        at = f"fleet.peers[{i}]"
        if peer["name"] == own_name:
            yield Problem(f"{at}.name", f"is {own_name!r}, which is this gateway")
        for field in ("name", "address") if peer["address"] else ("name",):
            path = f"{at}.{field}"
            first = first_path.setdefault((field, peer[field]), path)
            if first != path:
                yield Problem(path, f"is {peer[field]!r}, as is {first}")
        if not peer["address"] and not has_registry:
            text = "is empty, and there is no registry where gateways enter themselves"
            yield Problem(f"{at}.address", text)
        elif peer["address"] and parse_address(peer["address"]) is None:
            yield Problem(f"{at}.address", f"is {peer['address']!r}; an address is HOST:PORT")


def _names(fleet: Mapping[str, Any], own_name: str) -> Iterator[Problem]:
    names = [("fleet.name", fleet["name"]), ("gateway.name", own_name)]
    names += [(f"fleet.peers[{i}].name", each["name"]) for i, each in enumerate(fleet["peers"])]
    for path, name in names:
        size = len(name.encode())
        if not 0 < size <= MAX_NAME_BYTES:
            yield Problem(path, f"has {size} bytes; a name in a fleet has 1 to {MAX_NAME_BYTES}")

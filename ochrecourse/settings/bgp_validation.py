"""Validates the section `bgp` beyond types, and parses its identifiers, endpoints and communities."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Mapping
from typing import Any

from ochrecourse.settings.addresses import MAX_PORT
from ochrecourse.settings.problems import Problem

MIN_HOLD_TIME = 3  # s; RFC 4271, 4.2: zero or at least three seconds
MAX_HOLD_TIME = 65535  # s; two octets in OPEN (RFC 4271, 4.2)
MAX_COMMUNITY_NUMBER = 65535  # RFC 1997
MAX_LARGE_COMMUNITY_NUMBER = 2**32 - 1  # RFC 8092
COMMUNITY_PARTS = {"communities": 2, "large_communities": 3}


def bgp_problems(record: Mapping[str, Any]) -> list[Problem]:
    """Returns the problems in the section `bgp` of a settings record, if it has one."""
    if "bgp" not in record:
        return []
    speaker = record["bgp"]
    found = _unreadable(
        "bgp.identifier", "is no IPv4 address above 0.0.0.0", parse_identifier, speaker["identifier"]
    )
    if speaker["listen"]:
        found += _unreadable("bgp.listen", "is no HOST:PORT", parse_endpoint, speaker["listen"])
    for i, peer in enumerate(speaker["peers"]):
        found += _peer(peer, f"bgp.peers[{i}]", bool(speaker["listen"]))
    for i, address in enumerate(speaker["addresses"]):
        found += _service_address(address, f"bgp.addresses[{i}]")
    return found


def _peer(peer: Mapping[str, Any], at: str, listens: bool) -> list[Problem]:
    found = _unreadable(f"{at}.address", "is no HOST:PORT", parse_endpoint, peer["address"])
    hold_time = peer["hold_time"] / 1000
    if hold_time != int(hold_time) or 0 < hold_time < MIN_HOLD_TIME or hold_time > MAX_HOLD_TIME:
        found.append(Problem(f"{at}.hold_time", "must be 0s, or whole seconds from 3s to 65535s"))
    if not peer["families"]:
        found.append(Problem(f"{at}.families", "names no address family"))
    if not peer["dials"] and not listens:
        found.append(Problem(f"{at}.dials", "is false, but bgp.listen is empty: the two can never meet"))
    return found


def _service_address(address: Mapping[str, Any], at: str) -> list[Problem]:
    found = _unreadable(f"{at}.network", "is no prefix", ipaddress.ip_network, address["network"])
    found += _unreadable(f"{at}.next_hop", "is no address", ipaddress.ip_address, address["next_hop"])
    if not found:
        network = ipaddress.ip_network(address["network"])
        next_hop = ipaddress.ip_address(address["next_hop"])
        if network.version != next_hop.version:
            found.append(Problem(f"{at}.next_hop", "is not of the network's address family"))
    for kind, count in COMMUNITY_PARTS.items():
        for text in address[kind]:
            what = f"holds {text!r}; one is {':'.join(['NUMBER'] * count)}"
            found += _unreadable(f"{at}.{kind}", what, parse_community, text, count)
    return found


def _unreadable(path: str, what: str, read: Callable[..., object], *values: Any) -> list[Problem]:
    """Returns one problem if `read` raises ValueError for the values, else none."""
    try:
        read(*values)
    except ValueError:
        return [Problem(path, what)]
    return []


def parse_endpoint(text: str) -> tuple[str, int]:
    """Parses HOST:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(text)
    return host.strip("[]"), int(port)


def parse_identifier(text: str) -> int:
    """Parses a BGP identifier, an IPv4 address other than 0.0.0.0 (RFC 6286). Raises ValueError."""
    number = int(ipaddress.IPv4Address(text))
    if not number:
        raise ValueError(text)
    return number


def parse_community(text: str, count: int) -> tuple[int, ...]:
    """Parses the `count` numbers of a community (two, RFC 1997) or large community (three, RFC 8092).

    Raises ValueError.
    """
    numbers = tuple(int(number) for number in text.split(":"))
    most = MAX_COMMUNITY_NUMBER if count == 2 else MAX_LARGE_COMMUNITY_NUMBER
    if len(numbers) != count or not all(0 <= number <= most for number in numbers):
        raise ValueError(text)
    return numbers

"""From the settings' record to what the speaker takes. What types can't say is checked here. Free of I/O."""

from __future__ import annotations

from ochrecourse.common.time_units import MS

import ipaddress
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from ochrecourse.bgp import codec
from ochrecourse.bgp.fitness import DrainFigures, FitnessFigures
from ochrecourse.bgp.session import LEAST_HOLD, PeerFigures

FAMILIES = {"ipv4": codec.IPV4, "ipv6": codec.IPV6}


class PeerSetup(NamedTuple):
    """One peer: its figures, where it is, and whether TTL security (RFC 5082) is asked for."""

    figures: PeerFigures
    host: str
    port: int
    ttl_security: bool = False


class AddressSetup(NamedTuple):
    """One service address with what is said of it. `last_med`: MED while it is the last choice."""

    network: codec.Network
    next_hop: codec.Address
    med: int | None = None
    last_med: int = 1000
    local_preference: int = 100
    communities: tuple[tuple[int, int], ...] = ()
    large_communities: tuple[tuple[int, int, int], ...] = ()
    list_needed: bool = True  # whether an old list makes it the last choice


class SpeakerSetup(NamedTuple):
    """All that a speaker is made of."""

    peers: list[PeerSetup]
    addresses: list[AddressSetup]
    fitness: FitnessFigures
    drain: DrainFigures
    listen: tuple[str, int] | None


def mistakes(record: Mapping[str, Any]) -> list[tuple[str, str]]:
    """What is wrong beyond types, as paths and texts."""
    if "bgp" not in record:
        return []
    told: list[tuple[str, str]] = []

    def tried(path: str, text: str, read: Callable[..., Any], *words: Any) -> Any:
        try:
            return read(*words)
        except ValueError:
            told.append((path, text))
            return None

    said = record["bgp"]
    tried("bgp.identifier", "is no IPv4 address above 0.0.0.0", _identifier, said["identifier"])
    if said["listen"]:
        tried("bgp.listen", "is no HOST:PORT", _place, said["listen"])
    for i, peer in enumerate(said["peers"]):
        at = f"bgp.peers[{i}]"
        tried(f"{at}.address", "is no HOST:PORT", _place, peer["address"])
        hold = peer["hold_time"] / 1000
        if hold != int(hold) or 0 < hold < LEAST_HOLD or hold > 65535:
            told.append((f"{at}.hold_time", "must be 0s, or whole seconds from 3s to 65535s"))
        if not peer["families"]:
            told.append((f"{at}.families", "names no address family"))
        if not peer["dials"] and not said["listen"]:
            told.append((f"{at}.dials", "is false, but bgp.listen is empty: the two can never meet"))
    for i, address in enumerate(said["addresses"]):
        at = f"bgp.addresses[{i}]"
        net = tried(f"{at}.network", "is no prefix", ipaddress.ip_network, address["network"])
        hop = tried(f"{at}.next_hop", "is no address", ipaddress.ip_address, address["next_hop"])
        if net is not None and hop is not None and net.version != hop.version:
            told.append((f"{at}.next_hop", "is not of the network's address family"))
        for kind, count in (("communities", 2), ("large_communities", 3)):
            for text in address[kind]:
                problem = f"holds {text!r}; one is {':'.join(['NUMBER'] * count)}"
                tried(f"{at}.{kind}", problem, _numbers, text, count)
    return told


def setup_of(record: Mapping[str, Any]) -> SpeakerSetup | None:
    """The speaker of a record without mistakes; None if it has no part `bgp`."""
    if "bgp" not in record:
        return None
    said = record["bgp"]
    fit, drain = said["fitness"], said["drain"]
    return SpeakerSetup(
        peers=[_peer(each, _identifier(said["identifier"])) for each in said["peers"]],
        addresses=[_address(each) for each in said["addresses"]],
        fitness=FitnessFigures(
            loop_late=_ns(fit["loop_late"]),
            list_age=_ns(fit["list_age"]),
            nodes_share=fit["nodes_share"],
            failed_share=fit["failed_share"],
            room=fit["room"],
            lasts=_ns(fit["lasts"]),
            rest=_ns(fit["rest"]),
            longest_rest=max(_ns(fit["rest"]), _ns(fit["longest_rest"])),
            ease=_ns(fit["ease"]),
        ),
        drain=DrainFigures(_ns(drain["last_choice"]), _ns(drain["withdrawn"]), _ns(drain["unread"])),
        listen=_place(said["listen"]) if said["listen"] else None,
    )


def _peer(said: Mapping[str, Any], identifier: int) -> PeerSetup:
    host, port = _place(said["address"])
    figures = PeerFigures(
        name=said["name"],
        local_as=said["local_as"],
        remote_as=said["remote_as"],
        identifier=identifier,
        hold_time=round(said["hold_time"] / 1000),
        connect_retry=_ns(said["retry"]),
        idle_wait=_ns(said["idle_wait"]),
        dials=said["dials"],
        families=frozenset(FAMILIES[name] for name in said["families"]),
    )
    return PeerSetup(figures, host, port, said["ttl_security"])


def _address(said: Mapping[str, Any]) -> AddressSetup:
    return AddressSetup(
        network=ipaddress.ip_network(said["network"]),
        next_hop=ipaddress.ip_address(said["next_hop"]),
        med=said.get("med"),
        last_med=said["last_med"],
        local_preference=said["local_preference"],
        communities=tuple((a, b) for a, b in (_numbers(text, 2) for text in said["communities"])),
        large_communities=tuple(
            (a, b, c) for a, b, c in (_numbers(text, 3) for text in said["large_communities"])
        ),
        list_needed=said["list_needed"],
    )


def _ns(ms: float) -> int:
    return round(ms * MS)


def _place(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not 0 <= int(port) < 65536:
        raise ValueError(text)
    return host.strip("[]"), int(port)


def _identifier(text: str) -> int:
    number = int(ipaddress.IPv4Address(text))
    if not number:
        raise ValueError(text)
    return number


def _numbers(text: str, count: int) -> tuple[int, ...]:
    numbers = tuple(int(part) for part in text.split(":"))
    most = 65535 if count == 2 else 2**32 - 1
    if len(numbers) != count or not all(0 <= number <= most for number in numbers):
        raise ValueError(text)
    return numbers

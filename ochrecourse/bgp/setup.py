"""From the settings' record, which `settings/bgp_validation.py` has checked, to what the speaker takes.

Free of I/O.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from typing import Any, NamedTuple

from ochrecourse.bgp import codec
from ochrecourse.bgp.fitness import DrainFigures, FitnessFigures
from ochrecourse.bgp.session import PeerFigures
from ochrecourse.common.time_units import MS
from ochrecourse.settings.bgp_validation import parse_community, parse_endpoint, parse_identifier

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


def setup_of(record: Mapping[str, Any]) -> SpeakerSetup | None:
    """The speaker of a record without mistakes; None if it has no part `bgp`."""
    if "bgp" not in record:
        return None
    said = record["bgp"]
    fit, drain = said["fitness"], said["drain"]
    return SpeakerSetup(
        peers=[_peer(each, parse_identifier(said["identifier"])) for each in said["peers"]],
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
        listen=parse_endpoint(said["listen"]) if said["listen"] else None,
    )


def _peer(said: Mapping[str, Any], identifier: int) -> PeerSetup:
    host, port = parse_endpoint(said["address"])
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
        communities=tuple((a, b) for a, b in (parse_community(text, 2) for text in said["communities"])),
        large_communities=tuple(
            (a, b, c) for a, b, c in (parse_community(text, 3) for text in said["large_communities"])
        ),
        list_needed=said["list_needed"],
    )


def _ns(ms: float) -> int:
    return round(ms * MS)

"""The speaker's settings, built from a settings record that `settings/bgp_validation.py` has checked.

Free of I/O.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Mapping
from typing import Any, NamedTuple

from ochrecourse.bgp import codec
from ochrecourse.bgp.fitness import DrainSettings, FitnessSettings
from ochrecourse.bgp.session import SessionSettings
from ochrecourse.common.time_units import MS
from ochrecourse.settings.bgp_validation import parse_community, parse_endpoint, parse_identifier

FAMILIES = {"ipv4": codec.IPV4, "ipv6": codec.IPV6}


class PeerSettings(NamedTuple):
    """One peer: its session, its address, and whether TTL security (RFC 5082) is on."""

    session: SessionSettings
    host: str
    port: int
    ttl_security: bool = False


class AddressSettings(NamedTuple):
    """One service address and its path attributes.

    `last_choice_med` replaces `med` while the address is less preferred.
    """

    network: codec.Network
    next_hop: codec.Address
    med: int | None = None
    last_choice_med: int = 1000
    local_preference: int = 100
    communities: tuple[tuple[int, int], ...] = ()
    large_communities: tuple[tuple[int, int, int], ...] = ()
    list_needed: bool = True  # whether an old endpoint list makes the address less preferred


class SpeakerSettings(NamedTuple):
    """The settings of a speaker. `listen`: host and port for connections from peers."""

    peers: list[PeerSettings]
    addresses: list[AddressSettings]
    fitness: FitnessSettings
    drain: DrainSettings
    listen: tuple[str, int] | None


def speaker_settings(record: Mapping[str, Any]) -> SpeakerSettings | None:
    """The speaker's settings from a valid record; None if it has no section `bgp`."""
    if "bgp" not in record:
        return None
    bgp = record["bgp"]
    fitness, drain = bgp["fitness"], bgp["drain"]
    return SpeakerSettings(
        peers=[_peer(each, parse_identifier(bgp["identifier"])) for each in bgp["peers"]],
        addresses=[_address(each) for each in bgp["addresses"]],
        fitness=FitnessSettings(
            max_loop_lag=_ns(fitness["loop_late"]),
            max_list_age=_ns(fitness["list_age"]),
            min_reachable_share=fitness["nodes_share"],
            max_failed_share=fitness["failed_share"],
            max_open_share=fitness["room"],
            degrade_delay=_ns(fitness["lasts"]),
            recovery_delay=_ns(fitness["rest"]),
            max_recovery_delay=max(_ns(fitness["rest"]), _ns(fitness["longest_rest"])),
            decay_interval=_ns(fitness["ease"]),
        ),
        drain=DrainSettings(_ns(drain["last_choice"]), _ns(drain["withdrawn"]), _ns(drain["unread"])),
        listen=parse_endpoint(bgp["listen"]) if bgp["listen"] else None,
    )


def _peer(peer: Mapping[str, Any], identifier: int) -> PeerSettings:
    host, port = parse_endpoint(peer["address"])
    session = SessionSettings(
        name=peer["name"],
        local_as=peer["local_as"],
        remote_as=peer["remote_as"],
        identifier=identifier,
        hold_time=round(peer["hold_time"] / 1000),
        connect_retry=_ns(peer["retry"]),
        idle_hold_time=_ns(peer["idle_wait"]),
        dials=peer["dials"],
        families=frozenset(FAMILIES[name] for name in peer["families"]),
    )
    return PeerSettings(session, host, port, peer["ttl_security"])


def _address(address: Mapping[str, Any]) -> AddressSettings:
    return AddressSettings(
        network=ipaddress.ip_network(address["network"]),
        next_hop=ipaddress.ip_address(address["next_hop"]),
        med=address.get("med"),
        last_choice_med=address["last_med"],
        local_preference=address["local_preference"],
        communities=tuple((a, b) for a, b in (parse_community(text, 2) for text in address["communities"])),
        large_communities=tuple(
            (a, b, c) for a, b, c in (parse_community(text, 3) for text in address["large_communities"])
        ),
        list_needed=address["list_needed"],
    )


def _ns(ms: float) -> int:
    return round(ms * MS)

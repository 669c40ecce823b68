"""The addresses of the other gateways of a fleet, from the settings or from their registry entries."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from ochrecourse.settings.addresses import parse_address

UNKNOWN = ("", 0)  # the address of a gateway that has not registered yet


class RegistryEntry(msgspec.Struct):
    """The fields of a gateway's registry entry that are used here. `fleet`: HOST:PORT."""

    name: str
    fleet: str = ""


class PeerAddresses:
    """Host and port by gateway.

    `peers`: names and addresses in the settings; those without an address are looked up in the registry.
    """

    def __init__(self, peers: Iterable[Mapping[str, Any]]) -> None:
        self.by_name: dict[str, tuple[str, int]] = {}
        self._from_registry: set[str] = set()
        for peer in peers:
            found = parse_address(peer["address"])
            self.by_name[peer["name"]] = found or UNKNOWN
            if found is None:
                self._from_registry.add(peer["name"])

    def rejection_of(self, name: str) -> str:
        """Returns why a gateway with that name is rejected, or an empty text."""
        if name not in self.by_name:
            return f"{name!r} is no name of this fleet that the settings here know"
        return ""

    def registry_entries_received(self, entries: Iterable[bytes]) -> None:
        """Updates addresses from the values of registry entries; ignores those of other programs."""
        for entry in entries:
            try:
                registered = msgspec.json.decode(entry, type=RegistryEntry)
            except (msgspec.DecodeError, RecursionError, UnicodeError):
                continue  # other programs may write there too
            found = parse_address(registered.fleet)
            if registered.name in self._from_registry and found is not None and found[1]:
                self.by_name[registered.name] = found

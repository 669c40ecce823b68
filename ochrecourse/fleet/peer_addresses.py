"""Where the other gateways of a fleet listen: by the settings, or by their entries in the registry."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from ochrecourse.settings.addresses import parse_address

UNKNOWN = ("", 0)  # of a gateway that has not registered yet


class RegistryEntry(msgspec.Struct):
    """A gateway's entry in the registry, as far as it is needed here. `fleet`: HOST:PORT."""

    name: str
    fleet: str = ""


class PeerAddresses:
    """Host and port by gateway. `peers`: names and addresses of the settings; an empty address is to be
    found in the registry.
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
        """Why a gateway of that name is rejected, or an empty text."""
        if name not in self.by_name:
            return f"{name!r} is no name of this fleet that the settings here know"
        return ""

    def registry_entries_received(self, entries: Iterable[bytes]) -> None:
        """The values of all gateways' entries were read. Values that are none of ours are ignored."""
        for entry in entries:
            try:
                registered = msgspec.json.decode(entry, type=RegistryEntry)
            except (msgspec.DecodeError, RecursionError, UnicodeError):
                continue  # others may write there, too
            found = parse_address(registered.fleet)
            if registered.name in self._from_registry and found is not None and found[1]:
                self.by_name[registered.name] = found

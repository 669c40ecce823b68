"""What one peer is to be told and what it was told. Free of I/O.

The wanted state may change at any time, also while a session is down or its transport is full; only the
difference to what was told goes out, so a change that was taken back is never sent, and after a new session
everything is.
"""

from __future__ import annotations

from collections.abc import Mapping

from ochrecourse.bgp.codec import IPV4, IPV6, Attributes, Network, Update

MOST = 60  # prefixes in one update; with the largest attributes the message stays far under 4096 bytes


def family_of(network: Network) -> int:
    return IPV4 if network.version == 4 else IPV6


class Routes:
    """The routes of one peer. `told` is empty while no session is up."""

    def __init__(self) -> None:
        self.wanted: dict[Network, Attributes] = {}
        self.told: dict[Network, Attributes] = {}
        self.families: frozenset[int] = frozenset()

    def want(self, routes: Mapping[Network, Attributes]) -> None:
        """The whole wanted state."""
        self.wanted = dict(routes)

    def session_up(self, families: frozenset[int]) -> None:
        self.told.clear()
        self.families = families

    def session_down(self) -> None:
        self.told.clear()
        self.families = frozenset()

    def refresh(self, family: int) -> None:
        """The peer asks for a family again (RFC 2918): what was told of it is told once more."""
        self.told = {network: said for network, said in self.told.items() if family_of(network) != family}

    def next_update(self) -> Update | None:
        """The next difference; it counts as told. Withdrawals go first: an address that is unfit must not
        wait.
        """
        gone = [network for network in self.told if network not in self.wanted]
        if gone:
            one = [network for network in gone if network.version == gone[0].version][:MOST]
            for network in one:
                del self.told[network]
            return Update(withdrawn=tuple(one))
        for network, said in self.wanted.items():
            if self.told.get(network) != said and family_of(network) in self.families:
                alike = [
                    each
                    for each, other in self.wanted.items()
                    if other == said and self.told.get(each) != said and each.version == network.version
                ][:MOST]
                for each in alike:
                    self.told[each] = said
                return Update(announced=tuple(alike), attributes=said)
        return None

    def settled(self) -> bool:
        """Whether all that is wanted, and can be said to this peer, was told."""
        can = {network: said for network, said in self.wanted.items() if family_of(network) in self.families}
        return self.told == can

"""The Adj-RIB-Out of one peer (RFC 4271, 3.2): desired routes and the routes already advertised. Free of I/O.

The desired routes may change at any time, also while no session is up or the transport is full. Only the
difference from the advertised routes is sent: a change that is reverted in time is never sent, and a new
session starts with all routes.
"""

from __future__ import annotations

from collections.abc import Mapping

from ochrecourse.bgp.codec import IPV4, IPV6, Attributes, Network, Update

MAX_PREFIXES = 60  # in one UPDATE; with the largest attributes the message stays far below 4096 bytes


def family_of(network: Network) -> int:
    """The address family identifier (AFI) of a network."""
    return IPV4 if network.version == 4 else IPV6


class AdjRibOut:
    """The routes of one peer. `advertised` is empty while no session is up."""

    def __init__(self) -> None:
        self.desired: dict[Network, Attributes] = {}
        self.advertised: dict[Network, Attributes] = {}
        self.families: frozenset[int] = frozenset()

    def set_routes(self, routes: Mapping[Network, Attributes]) -> None:
        """Replaces all desired routes."""
        self.desired = dict(routes)

    def session_up(self, families: frozenset[int]) -> None:
        """A session is established; `families` are those that both sides support."""
        self.advertised.clear()
        self.families = families

    def session_down(self) -> None:
        """The session ended, so the peer has none of the routes any more."""
        self.advertised.clear()
        self.families = frozenset()

    def refresh(self, family: int) -> None:
        """Marks the routes of a family to be sent again, on a ROUTE-REFRESH of the peer (RFC 2918)."""
        self.advertised = {
            network: attributes
            for network, attributes in self.advertised.items()
            if family_of(network) != family
        }

    def next_update(self) -> Update | None:
        """The next difference as an UPDATE, recorded as advertised; None if there is none.

        Withdrawals are sent first: an address that is unfit must not wait.
        """
        to_withdraw = [network for network in self.advertised if network not in self.desired]
        if to_withdraw:
            batch = [network for network in to_withdraw if network.version == to_withdraw[0].version][
                :MAX_PREFIXES
            ]
            for network in batch:
                del self.advertised[network]
            return Update(withdrawn=tuple(batch))
        for network, attributes in self.desired.items():
            if self.advertised.get(network) != attributes and family_of(network) in self.families:
                same_attributes = [
                    each
                    for each, other in self.desired.items()
                    if other == attributes
                    and self.advertised.get(each) != attributes
                    and each.version == network.version
                ][:MAX_PREFIXES]
                for each in same_attributes:
                    self.advertised[each] = attributes
                return Update(announced=tuple(same_attributes), attributes=attributes)
        return None

    def in_sync(self) -> bool:
        """Whether all desired routes of the families that the peer supports are advertised."""
        sendable = {
            network: attributes
            for network, attributes in self.desired.items()
            if family_of(network) in self.families
        }
        return self.advertised == sendable

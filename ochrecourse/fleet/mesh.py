"""Which gateway dials which other one, and when it retries. Free of I/O, clocks and randomness.

Up to `FULL_MESH_SIZE` gateways form a full mesh. In larger fleets the sorted names form a ring, and each
gateway has links to those at the distances 1, 2, 4, 8 ... in both directions: updates take few hops, and no
gateway relays all of them. A pair has one link, which the gateway with the lower name dials. While the
gateway at a distance cannot be reached, the next reachable one in the ring replaces it. So all gateways that
can reach each other stay connected, by the links to the next gateway in the ring if by no others.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ochrecourse.common.time_units import MS, SECOND

FULL_MESH_SIZE = 16  # gateways; in larger fleets a full mesh would cost more than it is worth
INITIAL_BACKOFF = 100 * MS  # before a failed dial is retried; doubled each time
MAX_BACKOFF = 2 * SECOND  # a fleet reconnects within a few seconds once it can
INITIAL_PENALTY = 1 * SECOND  # after a violation; doubled each time: a faulty peer costs less and less
MAX_PENALTY = 300 * SECOND  # a repaired peer is dialled again within minutes without a restart here
PENALTY_RESET = 60 * SECOND  # a link without violations for this time resets the penalty
SPARE_TIMEOUTS = 4  # silence timeouts that an unneeded link is kept, so short failures do not move links
UNREACHABLE_TIMEOUTS = 2  # silence timeouts without a link until another gateway replaces one at a distance
RETRY_FACTOR = 8  # multiple of that, after which an unreachable gateway is tried again


@dataclass(slots=True)
class PeerDialState:
    """The state of the link and of dials to one peer. Times and durations in ns."""

    is_up: bool = False
    is_dialling: bool = False
    is_outgoing: bool = False  # whether this gateway dialled the current link
    since: int = 0  # when `is_up` last changed
    next_dial_at: int = 0  # no dial before this
    backoff: int = INITIAL_BACKOFF
    penalty: int = INITIAL_PENALTY
    violations: int = 0  # since they were last reset
    needed_at: int = 0  # when the link was last needed
    trying_since: int = -(1 << 62)  # start of the attempts since the last link ended


class Mesh:
    """Decides which links one gateway has.

    `silence_timeout`: silence in ns that ends a link. `chance` returns random numbers from 0 to 1.
    """

    def __init__(self, own: str, silence_timeout: int, chance: Callable[[], float]) -> None:
        self.own = own
        self.silence_timeout = silence_timeout
        self.chance = chance
        self.peers: dict[str, PeerDialState] = {}
        self.ring: list[str] = [own]
        self.successors: list[str] = []  # the peers in ring order, starting after this gateway
        # Indices in `successors`; if a peer there is unreachable, a later one replaces it.
        self.indices: list[int] = []
        self.fixed_peers: list[str] = []  # peers that are dialled without a replacement
        self.regular_peers: set[str] = set()  # peers with a regular link, whichever side dials

    # --- events ---

    def set_peers(self, names: Iterable[str], now: int) -> None:
        """Sets the other gateways of the fleet; peers that are not listed are no longer dialled."""
        peer_names = set(names) - {self.own}
        self.peers = {name: self.peers.get(name) or PeerDialState(since=now) for name in sorted(peer_names)}
        self.ring = sorted(peer_names | {self.own})
        size, own_index = len(self.ring), self.ring.index(self.own)
        self.successors = self.ring[own_index + 1 :] + self.ring[:own_index]
        self.indices, self.fixed_peers = [], list(self.peers)
        if size > FULL_MESH_SIZE:
            steps = [1 << bit for bit in range(size.bit_length()) if 1 << bit < size]
            self.indices = [step - 1 for step in steps]
            self.fixed_peers = sorted(
                {self.successors[-step] for step in steps} - {self.successors[i] for i in self.indices}
            )
        self.regular_peers = {*self.fixed_peers, *(self.successors[index] for index in self.indices)}

    def link_up(self, name: str, is_outgoing: bool, now: int) -> None:
        """A link is up; `is_outgoing`: this gateway dialled it."""
        if (state := self.peers.get(name)) is not None:
            state.is_up, state.is_dialling, state.is_outgoing, state.since, state.backoff = (
                True,
                False,
                is_outgoing,
                now,
                INITIAL_BACKOFF,
            )

    def link_lost(self, name: str, now: int, violation: bool = False) -> None:
        """A link ended or a dial failed.

        `violation`: the peer violated the protocol, or reports a violation by this gateway.
        """
        state = self.peers.get(name)
        if state is None:
            return
        if state.is_up:
            state.since = state.trying_since = now
        elif not violation:
            state.backoff = min(2 * state.backoff, MAX_BACKOFF)
        state.is_up = state.is_dialling = False
        state.next_dial_at = max(state.next_dial_at, now + round(state.backoff * (0.5 + 0.5 * self.chance())))
        if violation:
            state.violations += 1
            state.next_dial_at = now + round(state.penalty * (0.75 + 0.25 * self.chance()))
            state.penalty = min(2 * state.penalty, MAX_PENALTY)

    # --- queries ---

    def is_penalized(self, name: str, now: int) -> bool:
        """Whether a violation is too recent for a new link to this peer, whichever side dials."""
        state = self.peers.get(name)
        return state is not None and state.violations > 0 and now < state.next_dial_at

    def next_to_dial(self, now: int) -> str | None:
        """The next peer to dial now; to be called until it returns None."""
        for index in self.indices:
            for name in {self.successors[index]: None, self._reachable_from(index, now): None}:
                if self._starts_dial(name, now):
                    return name
        for name in self.fixed_peers:
            if self._starts_dial(name, now):
                return name
        return None

    def _starts_dial(self, name: str, now: int) -> bool:
        state = self.peers[name]
        state.needed_at = now
        if state.is_up:
            if state.violations and now - state.since > PENALTY_RESET:
                state.violations, state.penalty = 0, INITIAL_PENALTY
        elif (
            not state.is_dialling
            and now >= state.next_dial_at
            and (self.own < name or name not in self.regular_peers)
        ):
            state.is_dialling = True
            return True
        return False

    def next_spare(self, now: int) -> str | None:
        """The next peer whose outgoing link is no longer needed; to be called until it returns None."""
        for name, state in self.peers.items():
            if state.is_up and state.is_outgoing and name not in self.regular_peers:
                needed_at = max(state.needed_at, state.since)
                if now - needed_at > SPARE_TIMEOUTS * self.silence_timeout:
                    state.since = now  # returned only once
                    return name
        return None

    def _reachable_from(self, index: int, now: int) -> str:
        """The first peer from that index on that has a link or is not yet known to be unreachable."""
        unreachable_after = UNREACHABLE_TIMEOUTS * self.silence_timeout
        for i in range(index, len(self.successors)):
            name = self.successors[i]
            state = self.peers[name]
            if not state.is_up and now - state.trying_since > RETRY_FACTOR * unreachable_after:
                state.trying_since = now
            if state.is_up or (
                now - state.trying_since <= unreachable_after and not self.is_penalized(name, now)
            ):
                return name
        return self.successors[index]

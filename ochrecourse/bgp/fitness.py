"""Whether a service address is announced, announced as less preferred, or withdrawn. Free of I/O and clocks.

The decision uses only what this gateway observes. A fault of the gateway itself (it drains, does not listen,
its event loop is blocked, it has no endpoint list or no capacity) withdraws the address at once, because
other gateways can serve. A fault of nodes may affect every gateway, and a single gateway cannot determine
that. While the gateway reaches some nodes, its address therefore stays announced as less preferred: traffic
moves if other gateways fare better, and stays if none does. Only a gateway that reaches no node at all
withdraws for that reason. docs/bgp.md describes what this costs.

Hysteresis prevents flapping. A fault of nodes must persist for `degrade_delay` before it counts; a better
state must be justified for a recovery delay before it is entered. The recovery delay doubles with each
withdrawal and decays with time. An unfit address is never kept announced by it.
"""

from __future__ import annotations

from ochrecourse.common.time_units import SECOND

from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple


class AnnouncementState(IntEnum):
    """How an address is announced; a higher value is better."""

    WITHDRAWN = 0
    LESS_PREFERRED = 1
    ANNOUNCED = 2


class FitnessSettings(NamedTuple):
    """Limits for an address to be announced. Spans in ns, shares between 0 and 1."""

    max_loop_lag: int  # above it the gateway does not serve
    max_list_age: int  # above it the address is less preferred; 0: no limit
    min_reachable_share: float  # of the nodes listed as ready; below it the address is less preferred
    max_failed_share: float  # of the answered requests; above it the address is less preferred
    max_open_share: float  # of the open requests allowed; above it there is no capacity
    degrade_delay: int  # for which a fault of nodes must persist before it counts
    recovery_delay: int  # for which a better state must be justified before it is entered, at first
    max_recovery_delay: int
    decay_interval: int  # time in ANNOUNCED after which the recovery delay halves


@dataclass(slots=True)
class GatewayStatus:
    """What the gateway observes of itself now. `failed_share` is the share of `recent_requests`."""

    listening: bool = True
    draining: bool = False
    loop_lag: int = 0  # ns
    has_list: bool = True  # it has an endpoint list
    list_age: int = 0  # ns
    list_received: bool = True  # at least one endpoint list was received since the process started
    registered: bool = True  # its entry in the registry is valid, or it has none
    nodes_ready: int = 1
    nodes_reachable: int = 1
    recent_requests: int = 0
    failed_share: float = 0.0  # failed or answered too late
    requests_last_second: int = 0  # requests answered within the last second
    served_last_second: int = 0  # those of them that were served
    open_share: float = 0.0


MIN_REQUESTS = 20  # with fewer requests a share of outcomes means nothing
MIN_SERVED_SHARE = 0.5  # of the last second's requests, below which a withdrawn address stays withdrawn


class Fitness:
    """The announcement state of one service address, with the reasons for it."""

    def __init__(self, settings: FitnessSettings, now: int) -> None:
        self.settings = settings
        self.state = AnnouncementState.WITHDRAWN
        self.reasons: tuple[str, ...] = ("starting",)
        self.changed = now  # time of the last change, moved forward by each decay of the recovery delay
        self.recovery_delay = settings.recovery_delay
        self.good_since = -1  # since when a better state is justified; -1: it is not
        self.bad_since = -1  # since when a worse state is justified; -1: it is not
        self.never_announced = True  # since the process started
        self.history: deque[tuple[int, AnnouncementState, str]] = deque(maxlen=32)
        self.changes = 0

    def update(self, status: GatewayStatus, now: int) -> AnnouncementState:
        """Evaluates the gateway's status and returns the state from now on."""
        gateway_faults = self._gateway_faults(status)
        node_faults = self._node_faults(status)
        target = (
            AnnouncementState.WITHDRAWN
            if gateway_faults
            else AnnouncementState.LESS_PREFERRED
            if node_faults
            else AnnouncementState.ANNOUNCED
        )
        self._decay_recovery_delay(now)
        if gateway_faults:
            self.good_since = self.bad_since = -1
            if self.state is not AnnouncementState.WITHDRAWN:
                # Each loss of service makes the next return slower; an intended drain does not.
                if not status.draining:
                    self.recovery_delay = min(self.settings.max_recovery_delay, self.recovery_delay * 2)
                self._change_state(AnnouncementState.WITHDRAWN, gateway_faults, now)
            self.reasons = gateway_faults
        elif target < self.state:
            self.good_since = -1
            self.bad_since = now if self.bad_since < 0 else self.bad_since
            if now - self.bad_since >= self.settings.degrade_delay:
                self._change_state(target, node_faults, now)
        elif self.state is AnnouncementState.WITHDRAWN and mostly_not_served(status):
            # Nodes that return get few attempts at first. While most requests are rejected for that reason,
            # the gateway does not serve yet.
            self.good_since = self.bad_since = -1
            self.reasons = (
                f"{status.served_last_second} of the last {status.requests_last_second} jobs were fulfilled",
            )
        elif target > self.state:
            self.bad_since = -1
            self.good_since = now if self.good_since < 0 else self.good_since
            recovery_delay = self.settings.recovery_delay if self.never_announced else self.recovery_delay
            if now - self.good_since >= recovery_delay:
                self._change_state(target, node_faults or ("fit",), now)
        else:
            self.good_since = self.bad_since = -1
            self.reasons = node_faults or ("fit",)
        return self.state

    def next_due(self) -> int | None:
        """When the state may change with an unchanged status, in ns; None if it will not."""
        if self.good_since >= 0:
            return self.good_since + (
                self.settings.recovery_delay if self.never_announced else self.recovery_delay
            )
        if self.bad_since >= 0:
            return self.bad_since + self.settings.degrade_delay
        return None

    def _gateway_faults(self, status: GatewayStatus) -> tuple[str, ...]:
        """Faults of this gateway itself, or that leave it no node to serve with."""
        faults = []
        if status.draining:
            faults.append("draining")
        if not status.listening:
            faults.append("not listening")
        if status.loop_lag > self.settings.max_loop_lag:
            faults.append(f"the loop is {status.loop_lag / 1e6:.0f} ms late")
        if not status.has_list:
            faults.append("no list of nodes")
        elif not status.nodes_ready:
            faults.append("no node is ready")
        elif not status.nodes_reachable:
            faults.append("no node is reached")
        if status.requests_last_second >= MIN_REQUESTS and not status.served_last_second:
            faults.append(f"none of the last {status.requests_last_second} jobs was fulfilled")
        if status.open_share > self.settings.max_open_share:
            faults.append("no room for more jobs")
        return tuple(faults)

    def _node_faults(self, status: GatewayStatus) -> tuple[str, ...]:
        """Faults that may affect every other gateway as well."""
        faults = []
        if not status.list_received:
            faults.append("only the kept list")
        elif self.settings.max_list_age and status.list_age > self.settings.max_list_age:
            faults.append(f"the list is {status.list_age / SECOND:.0f} s old")
        if not status.registered:
            faults.append("its lease in the registry is lost")
        if status.nodes_reachable < self.settings.min_reachable_share * status.nodes_ready:
            faults.append(f"{status.nodes_reachable} of {status.nodes_ready} nodes are reached")
        if status.recent_requests >= MIN_REQUESTS and status.failed_share > self.settings.max_failed_share:
            faults.append(f"{status.failed_share:.0%} of the jobs are written off")
        return tuple(faults)

    def _change_state(self, state: AnnouncementState, reasons: tuple[str, ...], now: int) -> None:
        self.state, self.reasons, self.changed = state, reasons, now
        self.good_since = self.bad_since = -1
        self.never_announced = self.never_announced and state is AnnouncementState.WITHDRAWN
        self.changes += 1
        self.history.append((now, state, ", ".join(reasons)))

    def _decay_recovery_delay(self, now: int) -> None:
        """Halves the recovery delay for each decay interval spent in ANNOUNCED."""
        while (
            self.recovery_delay > self.settings.recovery_delay and self.state is AnnouncementState.ANNOUNCED
        ):
            if now - self.changed < self.settings.decay_interval:
                return
            self.changed += self.settings.decay_interval
            self.recovery_delay = max(self.settings.recovery_delay, self.recovery_delay // 2)


def mostly_not_served(status: GatewayStatus) -> bool:
    """Whether most requests of the last second were not served. Without requests nothing prevents a
    return.
    """
    return (
        status.requests_last_second >= MIN_REQUESTS
        and status.served_last_second < MIN_SERVED_SHARE * status.requests_last_second
    )


class DrainStage(IntEnum):
    """The stages of a drain, in order."""

    SERVING = 0
    LAST_CHOICE = 1  # announced with the graceful-shutdown community, so that traffic moves before the route
    WITHDRAWN = 2  # the peers get time to process the withdrawal
    FINISHING = 3  # open requests are answered, new ones are not admitted
    LEFT = 4  # sessions end with a Cease


class DrainSettings(NamedTuple):
    """Durations of the stages. Spans in ns."""

    last_choice: int
    withdrawn: int  # for peers to process the withdrawal, after its last byte was sent
    max_unsent: int  # the longest wait for a peer that does not read


class Drain:
    """The drain of one gateway. It always ends."""

    def __init__(self, settings: DrainSettings) -> None:
        self.settings = settings
        self.stage = DrainStage.SERVING
        self.since = 0  # when the stage was entered
        self.sent_at = -1  # when the withdrawal was sent to all peers; -1: not yet

    def begin(self, now: int) -> bool:
        """Starts the drain; False if it was started before."""
        if self.stage is not DrainStage.SERVING:
            return False
        self._enter(DrainStage.LAST_CHOICE, now)
        return True

    def undo(self, now: int) -> bool:
        """Cancels the drain; False if none runs or the gateway no longer admits requests."""
        if self.stage not in (DrainStage.LAST_CHOICE, DrainStage.WITHDRAWN):
            return False
        self._enter(DrainStage.SERVING, now)
        return True

    def update(self, now: int, all_sent: bool, open_requests: int) -> DrainStage:
        """Advances the stage where it is due, and returns it.

        `all_sent`: every established session has sent all its updates.
        """
        if self.stage is DrainStage.LAST_CHOICE and now >= self.since + self.settings.last_choice:
            self._enter(DrainStage.WITHDRAWN, now)
        if self.stage is DrainStage.WITHDRAWN:
            if all_sent and self.sent_at < 0:
                self.sent_at = now
            processed = self.sent_at >= 0 and now >= self.sent_at + self.settings.withdrawn
            if processed or now >= self.since + self.settings.max_unsent:
                self._enter(DrainStage.FINISHING, now)
        if self.stage is DrainStage.FINISHING and not open_requests:
            self._enter(DrainStage.LEFT, now)
        return self.stage

    def next_due(self) -> int | None:
        """When the stage may change by time alone, in ns; None if it depends on requests or no drain runs."""
        if self.stage is DrainStage.LAST_CHOICE:
            return self.since + self.settings.last_choice
        if self.stage is DrainStage.WITHDRAWN:
            latest = self.since + self.settings.max_unsent
            return min(latest, self.sent_at + self.settings.withdrawn) if self.sent_at >= 0 else latest
        return None

    def _enter(self, stage: DrainStage, now: int) -> None:
        self.stage, self.since, self.sent_at = stage, now, -1

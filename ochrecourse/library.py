"""What programs of one's own may rely on: the gateway as a library, by these names. See docs/library.md.

`SURFACE` counts up when one of these names changes its meaning or goes; names that are added leave it. What
is not named here may change with any version.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

from ochrecourse.common.runtime import Network
from ochrecourse.fleet.channel import Snapshot, Told
from ochrecourse.fleet.entries import Entry, Stamp
from ochrecourse.fleet.log import Refused as AppendRefused
from ochrecourse.fleet.channel_readers import OnEntries
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.member_environment import MemberEnvironment, MemberGateway, ZonePlacement
from ochrecourse.gateway.gateway import (
    ResponseHandler as Asker,
    BadRequestError as BadRequest,
    Gateway,
    RequestObserver as Observer,
    Request,
)
from ochrecourse.common.request_records import (
    RequestOutcome as Closing,
    RequestRecord as JobStory,
    AttemptRecord as LegStory,
)
from ochrecourse.gateway.request_body import RequestBody as Spool
from ochrecourse.interface import Ending, Health, ListKind, NodeEntry
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership.list_server_watcher import ListServerWatcher
from ochrecourse.membership.endpoint_list import EndpointList
from ochrecourse.membership.endpoint_list import EndpointListUpdate as News
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.nodes.framed_connection import dialler
from ochrecourse.settings.load import SettingsError as Refused, load, resolve
from ochrecourse.settings.plain import plain_map
from ochrecourse.storage.journal import Journal

SURFACE = 1


class Follower(ListServerWatcher):
    """Deprecated name of `ListServerWatcher`, with the constructor that programs of this surface call."""

    def __init__(
        self,
        name: str,
        network: Network,
        address: tuple[str, int],
        told: Callable[[News], None],
        path: Path | None,
        seed: int,
        warn: Callable[[str], None] = lambda text: None,
    ) -> None:
        super().__init__(WatcherContext(name, network, told, path, seed, warn), address)

    @property
    def view(self) -> EndpointList:
        """Deprecated name of `endpoint_list`."""
        return self.endpoint_list


class Tenant(Protocol):
    """Deprecated form of `fleet.subsystem.Subsystem`, with the method names of this surface."""

    name: str

    def sight(self, now: int) -> bytes | None:
        """As `Subsystem.status`."""

    def heard(self, name: str, zone: int, status: bytes, now: int) -> None:
        """As `Subsystem.status_received`."""

    def event(self, entry: Entry, now: int) -> None:
        """As `Subsystem.entry_received`."""

    def wants(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """As `Subsystem.next_entry`."""

    def bounds(self, now: int) -> Mapping[int, float]:
        """As `Subsystem.node_rates`."""

    def turn(self, now: int) -> None:
        """As `Subsystem.beat_passed`."""


class TenantSubsystem:
    """A `Tenant` as a subsystem of a fleet member; `name`, `keeps` and `report` are the tenant's."""

    name: str

    def __init__(self, tenant: Tenant) -> None:
        self._tenant = tenant

    def __getattr__(self, name: str) -> Any:
        return getattr(self._tenant, name)

    def status(self, now: int) -> bytes | None:
        """Its status for the next heartbeat."""
        return self._tenant.sight(now)

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Another gateway's status was received."""
        self._tenant.heard(name, zone, status, now)

    def entry_received(self, entry: Entry, now: int) -> None:
        """An entry is new in the log."""
        self._tenant.event(entry, now)

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """Channel and value of an entry to append."""
        return self._tenant.wants(now, reached)

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Units a second that this gateway may begin at a node."""
        return self._tenant.bounds(now)

    def beat_passed(self, now: int) -> None:
        """A beat has passed."""
        self._tenant.turn(now)


class Part(FleetMember):
    """Deprecated name of `FleetMember`, with the calls of this surface."""

    def __init__(
        self,
        said: Mapping[str, Any],
        gateway: MemberGateway,
        network: Network,
        journal: Journal,
        seed: int,
        epoch_ms: Callable[[], int],
        say: Callable[..., None] = lambda event, **more: None,
        zone: int = 0,
        zones: int = 1,
        cold: int = 0,
        names: Sequence[str] = (),
    ) -> None:
        environment = MemberEnvironment(gateway, network, journal, seed, epoch_ms, say)
        super().__init__(said, environment, ZonePlacement(zone, zones, cold, names))

    def lodge(self, tenant: Tenant) -> None:
        """Deprecated form of `register`, for a subsystem with the method names of this surface."""
        self.register(TenantSubsystem(tenant))

    def read(self, channel: str, cursor: str = "", most: int = 100) -> tuple[list[Told], str]:
        """As `FleetMember.read`, with the names of this surface."""
        return super().read(channel, cursor, most)

    def follow(self, channel: str, cursor: str, told: OnEntries) -> Callable[[], None]:
        """As `FleetMember.follow`, with the names of this surface."""
        return super().follow(channel, cursor, told)


__all__ = [
    "SURFACE",
    "AppendRefused",
    "Asker",
    "BadRequest",
    "Closing",
    "Ending",
    "Entry",
    "Follower",
    "Gateway",
    "Health",
    "JobStory",
    "LegStory",
    "ListKind",
    "News",
    "NodeEntry",
    "Observer",
    "Part",
    "Refused",
    "Request",
    "Snapshot",
    "Spool",
    "Stamp",
    "Tenant",
    "Told",
    "VirtualNetwork",
    "dialler",
    "load",
    "plain_map",
    "resolve",
]

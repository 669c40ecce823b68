"""What a host program gives to a fleet member, and the format of the member's journal."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from ochrecourse.common.request_records import AttemptRecord, RequestRecord
from ochrecourse.common.runtime import Network
from ochrecourse.fleet.format_versions import FIRST_VERSION, NEWEST_VERSION
from ochrecourse.fleet.zone_subsystem import InFlightRequests
from ochrecourse.storage.disk_worker import DiskWorker, InlineWorker
from ochrecourse.storage.journal import Journal


class JournalFormat(NamedTuple):
    """The name in a journal's header, and the versions that this program reads."""

    name: str
    oldest: int
    newest: int


JOURNAL = JournalFormat("fleet-log", FIRST_VERSION, NEWEST_VERSION)


class MemberGateway(Protocol):
    """What a member needs of its gateway."""

    name: str
    attempt_observers: list[Callable[[RequestRecord, AttemptRecord], None]]

    @property
    def request_log(self) -> InFlightRequests:
        """Its requests that are not over."""

    def node_rates_received(self, rates: Mapping[int, float]) -> None:
        """Units a second that may begin at a node; one that is left out has no limit."""


def _discard_line(event: str, **fields: Any) -> None:
    """For members whose log nobody reads."""


@dataclass(frozen=True)
class MemberEnvironment:
    """What a host program gives to a member.

    `unix_time_ms`: the wall clock, ms since 1970. `write_log` takes a line of the log: an event and its
    fields. `disk_worker` runs what is written to the journal once the member is made.
    """

    gateway: MemberGateway
    network: Network
    journal: Journal
    seed: int
    unix_time_ms: Callable[[], int]
    write_log: Callable[..., None] = _discard_line
    disk_worker: DiskWorker = field(default_factory=InlineWorker)


@dataclass(frozen=True)
class ZonePlacement:
    """Where a member is. `zone`: its own of `zone_count`; `warm_up`: ns for which a node is cold; `names`: of
    the zones, in the settings' order.
    """

    zone: int = 0
    zone_count: int = 1
    warm_up: int = 0
    names: Sequence[str] = ()

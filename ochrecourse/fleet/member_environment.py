"""What a host program provides to a fleet member, and the format of the member's journal."""

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
    """The name in a journal's header, and the range of format versions that this program reads."""

    name: str
    oldest: int
    newest: int


JOURNAL = JournalFormat("fleet-log", FIRST_VERSION, NEWEST_VERSION)


class MemberGateway(Protocol):
    """The interface of its gateway that a member uses."""

    name: str
    attempt_observers: list[Callable[[RequestRecord, AttemptRecord], None]]

    @property
    def request_log(self) -> InFlightRequests:
        """The gateway's requests in flight."""

    def node_rates_received(self, rates: Mapping[int, float]) -> None:
        """Sets the rate limits by node, in units started per second; a node without an entry has no limit."""


def _discard_line(event: str, **fields: Any) -> None:
    """Discards a log line; the default of MemberEnvironment.write_log."""


@dataclass(frozen=True)
class MemberEnvironment:
    """What a host program provides to a member.

    `unix_time_ms`: the wall clock, ms since 1970. `write_log` writes a log line: an event and its fields.
    `disk_worker` carries out the journal's writes after the member is constructed.
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
    """A member's zone and the zones of its fleet. `zone`: the index of its own zone, of `zone_count`;
    `warm_up`: ns for which a node counts as cold; `names`: the zones' names in the order of the settings.
    """

    zone: int = 0
    zone_count: int = 1
    warm_up: int = 0
    names: Sequence[str] = ()

"""The gateway as a library: the names that other programs may rely on. See docs/library.md.

`SURFACE` is incremented when one of these names changes its meaning or is removed, but not when names are
added. All other names may change with any version.

`__all__` contains the current names and those of earlier versions. The latter work as before and issue a
`DeprecationWarning` where a program calls one or reads a field by one. The rest of the package does not use
them.
"""

from __future__ import annotations

import warnings
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from pathlib import Path
from typing import Any, ClassVar, Protocol, cast

from ochrecourse.common.request_records import AttemptRecord, RequestOutcome, RequestRecord
from ochrecourse.common import requests
from ochrecourse.common.requests import BadRequestError, ResponseHandler
from ochrecourse.common.runtime import Clock, Network
from ochrecourse.fleet.channel import AppendRejectedError, Delivery, Snapshot
from ochrecourse.fleet.entries import Entry, Timestamp
from ochrecourse.fleet.channel_readers import OnEntries
from ochrecourse.fleet.member import FleetMember
from ochrecourse.fleet.member_environment import MemberEnvironment, MemberGateway, ZonePlacement
from ochrecourse.gateway import gateway as current
from ochrecourse.gateway.gateway import RequestObserver
from ochrecourse.gateway.request_body import RequestBody
from ochrecourse.interface import SchedulerApi, Ending, Health, ListKind, NodeEntry
from ochrecourse.lab.virtual import VirtualNetwork
from ochrecourse.membership.endpoint_list import EndpointList, EndpointListUpdate
from ochrecourse.membership.endpoint_list_store import WatcherContext
from ochrecourse.membership.list_server_watcher import ListServerWatcher
from ochrecourse.nodes.dispatcher import OpenConnection
from ochrecourse.nodes.framed_connection import dialler
from ochrecourse.nodes.pool import PoolLimits
from ochrecourse.scheduler.scheduler import Scheduler
from ochrecourse.settings.load import SettingsError as Refused
from ochrecourse.settings.load import load, resolve
from ochrecourse.settings.plain import plain_map
from ochrecourse.storage.journal import Journal

SURFACE = 1

__all__ = [
    "SURFACE",
    "AppendRefused",
    "Asker",
    "AttemptRecord",
    "BadRequest",
    "BadRequestError",
    "Closing",
    "Ending",
    "EndpointListUpdate",
    "Entry",
    "Follower",
    "Gateway",
    "Health",
    "JobStory",
    "LegStory",
    "ListKind",
    "ListServerWatcher",
    "News",
    "NodeEntry",
    "Observer",
    "Part",
    "Refused",
    "Request",
    "RequestBody",
    "RequestObserver",
    "RequestOutcome",
    "RequestRecord",
    "ResponseHandler",
    "Snapshot",
    "Spool",
    "Stamp",
    "Tenant",
    "Told",
    "VirtualNetwork",
    "WatcherContext",
    "dialler",
    "load",
    "plain_map",
    "resolve",
]

CALLER = 3  # stack level of the program that uses an old name: above the warning and the alias


def _warn(old: str, new: str, further: int = 0) -> None:
    """Issues the warning for the line of the program that used `old`; `further`: additional stack frames."""
    warnings.warn(f"{old} is deprecated, use {new}", DeprecationWarning, stacklevel=CALLER + further)


class _RenamedField:
    """A descriptor that reads and writes a renamed field by its old name."""

    def __init__(self, new: str) -> None:
        self.new = new
        self.old = ""

    def __set_name__(self, owner: type, name: str) -> None:
        self.old = f"{owner.__name__}.{name}"

    def __get__(self, instance: object, owner: type | None = None) -> Any:
        if instance is None:
            return self
        _warn(self.old, self.new)
        return getattr(instance, self.new)

    def __set__(self, instance: object, value: object) -> None:
        _warn(self.old, self.new)
        setattr(instance, self.new, value)


def _add_old_field(owner: type, old: str, new: str, owner_name: str) -> None:
    """Adds the old name of a field to a class, so that it also applies to values that the gateway creates."""
    field = _RenamedField(new)
    field.old = f"{owner_name}.{old}"
    setattr(owner, old, field)


def _new_keywords(owner: str, old_to_new: Mapping[str, str], named: dict[str, Any]) -> dict[str, Any]:
    """Maps old keywords to new ones. An old one takes precedence, as `dataclasses.replace` passes both."""
    for old, new in old_to_new.items():
        if old in named:
            _warn(f"{owner}({old}=)", f"{new}=", further=1)
            named[new] = named.pop(old)
    return named


# --- the gateway and its requests ---


class Request(requests.Request):
    """A request of a client; `product` and `plan` are the old names of two of its fields."""

    __slots__ = ()
    _old_to_new: ClassVar[Mapping[str, str]] = {"product": "request_class", "plan": "tenant"}

    product = _RenamedField("request_class")
    plan = _RenamedField("tenant")

    def __init__(self, *values: Any, **named: Any) -> None:
        super().__init__(*values, **_new_keywords("Request", self._old_to_new, named))


class Asker(Protocol):
    """The old form of `ResponseHandler`, which `Gateway.take` still accepts.

    Exactly one of `fulfilled`, `denied` and `written_off` is called, unless the client has disconnected.
    `fulfilled` is followed by the chunks of the answer's body; `broke_off` means that no more follow.
    """

    def fulfilled(self, job: int, size: int, shard: int) -> None:
        """The answer begins; `size` in bytes, `shard` stores the object."""

    def piece(self, job: int, data: bytes) -> None:
        """The next chunk of the answer's body."""

    def broke_off(self, job: int) -> None:
        """The rest of an answer that had begun will not follow."""

    def denied(self, job: int, come_back: int) -> None:
        """The request is rejected; a retry may succeed after `come_back` ns (0: not known)."""

    def written_off(self, job: int) -> None:
        """The request failed."""


class _AskerHandler:
    """Adapts an `Asker` to the `ResponseHandler` that the gateway calls."""

    __slots__ = ("asker",)

    def __init__(self, asker: Asker) -> None:
        self.asker = asker

    def served(self, request_id: int, size: int, shard: int) -> None:
        """The answer begins."""
        self.asker.fulfilled(request_id, size, shard)

    def body_chunk(self, request_id: int, data: bytes) -> None:
        """The next chunk of the answer's body."""
        self.asker.piece(request_id, data)

    def aborted(self, request_id: int) -> None:
        """The rest of the answer will not follow."""
        self.asker.broke_off(request_id)

    def rejected(self, request_id: int, retry_after: int) -> None:
        """The request is rejected."""
        self.asker.denied(request_id, retry_after)

    def failed(self, request_id: int) -> None:
        """The request failed."""
        self.asker.written_off(request_id)


class Gateway(current.Gateway):
    """The gateway of a host; see `gateway.Gateway`. Accepts old calls, and observers of the old form."""

    def __init__(  # noqa: PLR0913 (programs of library surface 1 call it so)
        self,
        values: Mapping[str, str],
        seed: int,
        clock: Clock,
        open_connection: OpenConnection,
        name: str,
        travel: int = 0,
        observers: Sequence[RequestObserver | Observer] = (),
        decisions: Callable[[Mapping[str, str], int, int], SchedulerApi] = Scheduler,
        limits: PoolLimits | None = None,
        unread_since: Callable[[], int] | None = None,
    ) -> None:
        super().__init__(
            values, seed, clock, open_connection, name, travel, _current_observers(observers), decisions,
            limits, unread_since
        )  # fmt: skip

    def list_came(
        self, kind: ListKind, entries: Sequence[NodeEntry], addresses: Mapping[int, tuple[str, int]]
    ) -> None:
        """Old name of `endpoint_list_received`."""
        _warn("Gateway.list_came", "Gateway.endpoint_list_received")
        self.endpoint_list_received(kind, entries, addresses)

    def take(self, request: requests.Request, asker: Asker | ResponseHandler) -> int:
        """Old name of `submit`; accepts an `Asker` too. Raises BadRequestError."""
        _warn("Gateway.take", "Gateway.submit")
        if not hasattr(asker, "served"):
            return self.submit(request, _AskerHandler(asker))
        return self.submit(request, cast("ResponseHandler", asker))

    def leave(self, job: int) -> None:
        """Old name of `cancel`."""
        _warn("Gateway.leave", "Gateway.cancel")
        self.cancel(job)

    def room(self, job: int, size: int) -> None:
        """Old name of `response_consumed`; `size` in bytes."""
        _warn("Gateway.room", "Gateway.response_consumed")
        self.response_consumed(job, size)


BadRequest = BadRequestError  # the same class, so that either name catches an error of `submit`


class Spool(RequestBody):
    """Old name of `RequestBody`; `size` in bytes."""

    came = _RenamedField("bytes_received")

    def __init__(self, size: int) -> None:
        _warn("Spool", "RequestBody")
        super().__init__(size)

    def whole(self) -> bool:
        """Old name of `is_complete`."""
        _warn("Spool.whole", "RequestBody.is_complete")
        return self.is_complete()


# --- the records of finished requests ---


class Closing(Enum):
    """How a request ended, by the old names; the values are those of `RequestOutcome`."""

    FULFILLED = "fulfilled"
    DENIED = "denied"
    WRITTEN_OFF = "written off"
    CLIENT_GONE = "client gone"
    TOO_LATE = "too late"


class LegStory(AttemptRecord):
    """An `AttemptRecord` whose fields have their old names too."""

    __slots__ = ()
    _old_to_new: ClassVar[Mapping[str, str]] = {"sent": "sent_at", "why": "reason"}

    sent = _RenamedField("sent_at")
    why = _RenamedField("reason")

    def __init__(self, *values: Any, **named: Any) -> None:
        super().__init__(*values, **_new_keywords("LegStory", self._old_to_new, named))


class JobStory(RequestRecord):
    """A `RequestRecord` whose fields have their old names too."""

    __slots__ = ()
    _old_to_new: ClassVar[Mapping[str, str]] = {
        "product": "request_class",
        "plan": "tenant",
        "taken": "received_at",
        "due": "deadline",
        "latest": "latest_answer_at",
        "legs": "attempts",
        "closing": "outcome",
        "answered": "answered_at",
        "out": "attempts_out",
    }

    product = _RenamedField("request_class")
    plan = _RenamedField("tenant")
    taken = _RenamedField("received_at")
    due = _RenamedField("deadline")
    latest = _RenamedField("latest_answer_at")
    legs = _RenamedField("attempts")
    answered = _RenamedField("answered_at")
    out = _RenamedField("attempts_out")

    def __init__(self, *values: Any, **named: Any) -> None:
        super().__init__(*values, **_new_keywords("JobStory", self._old_to_new, named))
        if isinstance(self.outcome, Closing):
            self.outcome = RequestOutcome(self.outcome.value)

    @property
    def closing(self) -> Closing | None:
        """The outcome by its old name; None while the request is open."""
        _warn("JobStory.closing", "outcome")
        return None if self.outcome is None else Closing(self.outcome.value)


class Observer(Protocol):
    """The old form of `RequestObserver`, which a `Gateway` still accepts."""

    def job_over(self, gateway: Gateway, story: JobStory) -> None:
        """A request is over; its record is final."""


class _JobOverObserver:
    """Adapts an `Observer` to the `RequestObserver` that the gateway calls."""

    def __init__(self, observer: Observer) -> None:
        self.observer = observer

    def request_finished(self, gateway: current.Gateway, record: RequestRecord) -> None:
        """Passes on the record, which is final, with its old field names."""
        self.observer.job_over(cast("Gateway", gateway), _job_story(record))


def _job_story(record: RequestRecord) -> JobStory:
    attempts = [
        LegStory(each.number, each.node, each.sent_at, each.took, each.ending, each.reason)
        for each in record.attempts
    ]
    return JobStory(
        record.number, record.request_class, record.tenant, record.volume, record.units, record.received_at,
        record.deadline, record.latest_answer_at, record.trace, attempts, record.outcome, record.streaming,
        record.answered_at, record.attempts_out
    )  # fmt: skip


def _current_observers(observers: Sequence[RequestObserver | Observer]) -> Sequence[RequestObserver]:
    """Adapts old observers. Returns the same sequence if there are none, as its owner may add to it."""
    if all(hasattr(each, "request_finished") for each in observers):
        return cast("Sequence[RequestObserver]", observers)
    _warn("Observer.job_over", "RequestObserver.request_finished", further=1)
    return [
        cast("RequestObserver", each) if hasattr(each, "request_finished")
        else cast("RequestObserver", _JobOverObserver(each))
        for each in observers
    ]  # fmt: skip


# --- the endpoint list ---

News = EndpointListUpdate


class Follower(ListServerWatcher):
    """Old name of `ListServerWatcher`."""

    def __init__(  # noqa: PLR0913 (programs of library surface 1 call it so)
        self,
        name: str,
        network: Network,
        address: tuple[str, int],
        told: Callable[[EndpointListUpdate], None],
        path: Path | None,
        seed: int,
        warn: Callable[[str], None] = lambda text: None,
    ) -> None:
        _warn("Follower", "ListServerWatcher")
        super().__init__(WatcherContext(name, network, told, path, seed, warn), address)

    @property
    def view(self) -> EndpointList:
        """Old name of `endpoint_list`."""
        _warn("Follower.view", "ListServerWatcher.endpoint_list")
        return self.endpoint_list


# --- the fleet ---

AppendRefused = AppendRejectedError  # the same class, so that either name catches an error of `append`
Stamp = Timestamp
Told = Delivery
_add_old_field(Timestamp, "turn", "counter", "Stamp")
_add_old_field(Entry, "life", "incarnation", "Entry")


class Tenant(Protocol):
    """Old form of `fleet.subsystem.Subsystem`, by the old names of its methods."""

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
    """Adapts a `Tenant` to a fleet subsystem; `name`, `keeps` and `report` are those of the tenant."""

    name: str

    def __init__(self, tenant: Tenant) -> None:
        self._tenant = tenant

    def __getattr__(self, name: str) -> Any:
        return getattr(self._tenant, name)

    def status(self, now: int) -> bytes | None:
        """Returns the status for the next heartbeat."""
        return self._tenant.sight(now)

    def status_received(self, name: str, zone: int, status: bytes, now: int) -> None:
        """Another gateway's status was received."""
        self._tenant.heard(name, zone, status, now)

    def entry_received(self, entry: Entry, now: int) -> None:
        """A new entry was added to the log."""
        self._tenant.event(entry, now)

    def next_entry(self, now: int, reached: Mapping[str, int]) -> tuple[str, object] | None:
        """Returns channel and value of an entry to append, if any."""
        return self._tenant.wants(now, reached)

    def node_rates(self, now: int) -> Mapping[int, float]:
        """Returns by node the units a second that this gateway may start there."""
        return self._tenant.bounds(now)

    def beat_passed(self, now: int) -> None:
        """A heartbeat interval has passed."""
        self._tenant.turn(now)


class Part(FleetMember):
    """Old name of `FleetMember`, with the old calls."""

    def __init__(  # noqa: PLR0913 (programs of library surface 1 call it so)
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
        """Old name of `register`."""
        self.register(TenantSubsystem(tenant))

    def read(self, channel: str, cursor: str = "", most: int = 100) -> tuple[list[Delivery], str]:
        """As `FleetMember.read`, with the old names of its parameters."""
        return super().read(channel, cursor, most)

    def follow(self, channel: str, cursor: str, told: OnEntries) -> Callable[[], None]:
        """As `FleetMember.follow`, with the old names of its parameters."""
        return super().follow(channel, cursor, told)

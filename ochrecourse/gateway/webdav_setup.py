"""Creates the WebDAV server of a daemon from its settings."""

from __future__ import annotations

import uuid
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from ochrecourse.common.requests import RequestGateway
from ochrecourse.common.runtime import Network, now_ns
from ochrecourse.common.time_units import MS
from ochrecourse.storage.journal import FileJournal, Journal, MemoryJournal
from ochrecourse.webdav.limits import ConnectionLimits
from ochrecourse.webdav.mapping import RequestClassRule, VolumeRule
from ochrecourse.webdav.methods import Quota
from ochrecourse.webdav.server import WebDavServer
from ochrecourse.webdav.state_store import StateStore

NAMES_JOURNAL = ("webdav-tree", 1)  # name and version of the file of names and locks


def names_journal(own: Mapping[str, Any]) -> Journal:
    """Opens the journal of names and locks; `own`: the `gateway` settings. Raises JournalError, OSError."""
    if not own["state"]:
        return MemoryJournal()
    return FileJournal(Path(own["state"]) / f"{own['name']}.tree", *NAMES_JOURNAL)


def names_and_locks(
    journal: Journal, network: Network, clock_zero: int, warn: Callable[[str], None]
) -> StateStore:
    """Loads names and locks from a journal; `clock_zero`: Unix time in s at the clock's zero.

    Raises InvalidRecordError, OSError.
    """
    names = StateStore(journal, lambda: uuid.uuid4().urn, now_ns(network), clock_zero)
    for note in journal.damage_reports if isinstance(journal, FileJournal) else ():
        warn(note)
    return names


def webdav_server(
    record: Mapping[str, Any],
    gateway: RequestGateway,
    network: Network,
    names: StateStore,
    access_log: Callable[..., None] | None,
) -> WebDavServer:
    """Returns the WebDAV server of a settings record; its requests have their class's client timeout."""
    settings = record["webdav"]
    timeouts = {each["name"]: each["client_timeout"] / 1000 for each in record["products"]}
    class_rules = [
        RequestClassRule(each["method"], each["most"], each["product"], timeouts[each["product"]])
        for each in settings["products"]
    ]
    volume_rules = [VolumeRule(each["name"], each["plan"], each["gateways"]) for each in settings["volumes"]]
    quotas = {each["name"]: round(each["quota"]) for each in settings["volumes"] if each["quota"]}
    return WebDavServer(
        gateway,
        network,
        class_rules,
        volume_rules,
        round(settings["unit"]),
        record["units"]["most"],
        record["gateway"]["number"],
        names,
        _limits(settings["limits"]),
        Quota(quotas),
        access_log,
    )


def _limits(limits: Mapping[str, Any]) -> ConnectionLimits:
    return ConnectionLimits(
        max_connections=limits["connections"],
        max_header_bytes=round(limits["header"]),
        max_headers=limits["headers"],
        max_body_bytes=round(limits["body"]),
        rate=limits["rate"],
        burst=limits["burst"],
        idle_timeout=round(limits["idle"] * MS),
        header_timeout=round(limits["head"] * MS),
        min_body_rate=limits["slowest"],
        body_grace=round(limits["grace"] * MS),
    )

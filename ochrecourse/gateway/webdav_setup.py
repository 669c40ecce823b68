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
from ochrecourse.webdav.door import Door
from ochrecourse.webdav.kept import Kept
from ochrecourse.webdav.limits import DoorFigures
from ochrecourse.webdav.mapping import ProductRule, VolumeRule
from ochrecourse.webdav.methods import Quota

NAMES_JOURNAL = ("webdav-tree", 1)  # name and version of the file of names and locks


def names_journal(own: Mapping[str, Any]) -> Journal:
    """Opens the journal of names and locks; `own`: the `gateway` settings. Raises JournalError, OSError."""
    if not own["state"]:
        return MemoryJournal()
    return FileJournal(Path(own["state"]) / f"{own['name']}.tree", *NAMES_JOURNAL)


def names_and_locks(journal: Journal, network: Network, clock_zero: int, warn: Callable[[str], None]) -> Kept:
    """Loads names and locks from a journal; `clock_zero`: Unix time in s at the clock's zero.

    Raises Unreadable, OSError.
    """
    names = Kept(journal, lambda: uuid.uuid4().urn, now_ns(network), clock_zero)
    for note in journal.damage_reports if isinstance(journal, FileJournal) else ():
        warn(note)
    return names


def webdav_server(
    record: Mapping[str, Any],
    gateway: RequestGateway,
    network: Network,
    names: Kept,
    access_log: Callable[..., None] | None,
) -> Door:
    """Returns the WebDAV server of a settings record; its requests have their class's client timeout."""
    settings = record["webdav"]
    timeouts = {each["name"]: each["client_timeout"] / 1000 for each in record["products"]}
    class_rules = [
        ProductRule(each["method"], each["most"], each["product"], timeouts[each["product"]])
        for each in settings["products"]
    ]
    volume_rules = [VolumeRule(each["name"], each["plan"], each["gateways"]) for each in settings["volumes"]]
    quotas = {each["name"]: round(each["quota"]) for each in settings["volumes"] if each["quota"]}
    return Door(
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


def _limits(limits: Mapping[str, Any]) -> DoorFigures:
    return DoorFigures(
        connections=limits["connections"],
        header_bytes=round(limits["header"]),
        headers=limits["headers"],
        body=round(limits["body"]),
        rate=limits["rate"],
        burst=limits["burst"],
        idle=round(limits["idle"] * MS),
        head=round(limits["head"] * MS),
        slowest=limits["slowest"],
        grace=round(limits["grace"] * MS),
    )

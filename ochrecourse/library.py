"""What programs of one's own may rely on: the gateway as a library, by these names. See docs/library.md.

`SURFACE` counts up when one of these names changes its meaning or goes; names that are added leave it. What
is not named here may change with any version.
"""

from __future__ import annotations

from ochrecourse.fleet.channel import Snapshot, Told
from ochrecourse.fleet.entries import Entry, Stamp
from ochrecourse.fleet.log import Refused as AppendRefused
from ochrecourse.fleet.part import Part, Tenant
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
from ochrecourse.membership.list_server_watcher import ListServerWatcher as Follower
from ochrecourse.membership.endpoint_list import EndpointListUpdate as News
from ochrecourse.nodes.framed_connection import dialler
from ochrecourse.settings.load import SettingsError as Refused, load, resolve
from ochrecourse.settings.plain import plain_map

SURFACE = 1

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

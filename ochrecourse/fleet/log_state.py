"""The state that a fleet member restores from its journal: the event log, the membership, its incarnation.

Each start of a gateway is a new incarnation, and so is its return after the fleet has ended the previous one.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from ochrecourse.common.runtime import now_ns
from ochrecourse.fleet.format_versions import FormatVersions
from ochrecourse.fleet.frontier import Frontier
from ochrecourse.fleet.log_store import BeginResult, LogStore
from ochrecourse.fleet.member_environment import MemberEnvironment
from ochrecourse.fleet.member_settings import MemberSettings
from ochrecourse.fleet.members import Members
from ochrecourse.fleet.operator_log import OperatorLog

INCARNATION_RANDOM_BITS = 16
JOURNAL_BYTES_PER_PULL = 16_384  # rewritten per call; some 100 records, which take 1 ms


class LogState:
    """The log store and the state that is derived from it."""

    def __init__(
        self,
        settings: MemberSettings,
        environment: MemberEnvironment,
        zone: int,
        peers: Iterable[str],
        operator_log: OperatorLog,
    ) -> None:
        """Reads the journal, and begins a new incarnation. Raises OSError, storage.journal.JournalError."""
        self.environment = environment
        self.clock_shift_ms = settings.clock_shift_ms
        self.operator_log = operator_log
        self.random_source = random.Random(environment.seed)
        own_name = environment.gateway.name
        now = now_ns(environment.network)
        self.log_store = LogStore(
            environment.journal,
            own_name,
            settings.log_limits,
            self.wall_ms(),
            self._random_bits(),
            environment.disk_worker,
            lambda: now_ns(environment.network),
        )
        self.log = self.log_store.log
        self.members = Members(
            own_name, self.log.incarnation, zone, settings.silence_timeout, settings.eviction_time, peers, now
        )
        self.frontier = Frontier(self.log, peers)
        self.log.journal_recovered()
        self.frontier.settle()
        self.forms = FormatVersions(settings.newest_version, self.log_store.format_version)

    def wall_ms(self) -> int:
        """ms since 1970 by this gateway's clock."""
        return self.environment.unix_time_ms() + self.clock_shift_ms

    def begin_incarnation_if_due(self) -> None:
        """Begins one if the fleet has ended the present one, or if a greater one of this name is known."""
        is_due = self.frontier.has_ended or self.members.highest_incarnation > self.log.incarnation
        if is_due and not self.log_store.is_beginning_incarnation:
            self.log_store.request_incarnation(
                self.wall_ms(), self._random_bits(), self.members.highest_incarnation, self._incarnation_begun
            )

    def _incarnation_begun(self, result: BeginResult) -> None:
        if result.error is not None:
            life, why = self.log.incarnation, str(result.error)
            self.operator_log.write_once_per_beat("", "fleet life goes on", life=life, why=why)
            return
        self.members.begin_incarnation(result.incarnation, self.frontier.earlier_incarnations())
        self.operator_log.write("fleet life begun", life=result.incarnation, before=result.previous)

    def update_journal_form(self) -> None:
        """Raises the journal to the version in force, if this program supports it. A program that does not
        support it then notices at the first line, and not after half of the records.
        """
        form = min(self.forms.in_force, self.forms.supported.newest)
        if form > self.log_store.format_version:
            self.log_store.set_format_version(form)
            speaks = list(self.forms.supported)
            self.operator_log.write(
                "fleet form", form=self.forms.in_force, speaks=speaks, by=self.forms.raised_by
            )

    def continue_rewrite(self) -> bool:
        """Continues the maintenance of the journal; True if that completed a compaction of the log."""
        was_compacting = bool(self.log.compacting)
        self.log_store.maintain(JOURNAL_BYTES_PER_PULL)
        return was_compacting and not self.log.compacting

    def _random_bits(self) -> int:
        return self.random_source.getrandbits(INCARNATION_RANDOM_BITS)

"""Copies of the store tables at one instance: watching, evidence of freshness, peers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.store_version import counter_of, era_of
from godwitthread.core.table_freshness import (
    FEED_GRACE_MS,
    MAX_PROBERS,
    TableContent,
    TableFreshness,
    TableReport,
    TableReports,
    TableState,
    TableStates,
)
from godwitthread.gateway.configuration_evidence import ConfigurationEvidence
from godwitthread.gateway.former_tables import former_name, is_former_name
from godwitthread.gateway.peer_sync import PeerSync
from godwitthread.gateway.refusal_reports import ConfigurationBasis
from godwitthread.gateway.store_health import StoreHealth
from godwitthread.gateway.store_probe import StoreProbe
from godwitthread.gateway.store_rows import PEER_TABLE
from godwitthread.gateway.store_watcher import (
    MIN_CALL_INTERVAL_MS,
    PEER_TABLE_INTERVAL_MS,
    ReaderContext,
    StoreAnswer,
    StoreWatcher,
)
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from typing import Any

    from godwitthread.clock import Clock
    from godwitthread.gateway.frames import FrameStream
    from godwitthread.gateway.links import Link
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Store
    from godwitthread.gateway.store_view import StoreView


#: Time for which an instance that starts waits for rows that a restored store lacks, in ms. A peer
#: that knows them reports so when its link is up, and answers a request for them at once.
FORMER_ROWS_WAIT_MS = 2_000
#: Time after which an instance that starts no longer waits for evidence that its copy of the
#: configuration is current, in ms. After lost history, reads were up to 5.5 s old.
EVIDENCE_WAIT_MS = 8_000


class ReaderRole(NamedTuple):
    """Part of an instance in reading the store."""

    #: Returns whether an instance reads the store itself rather than through peers.
    reads_store: Callable[[str], bool]
    #: Returns the position of this instance among the readers, the first of which is 0.
    rank: Callable[[], int]


class StoreSync:
    """Keep the copies of all tables current, through the store and through peers."""

    def __init__(
        self,
        name: str,
        view: StoreView,
        store: Callable[[], Store],
        clock: Clock,
        log: Log,
        links: Callable[[], tuple[list[Link], list[Link]]],
        role: ReaderRole,
        inbound: Callable[[], set[str]] = set,
    ) -> None:
        self.health = StoreHealth()
        self._begun_ms = clock.now_ms()
        #: Whether the copies were good enough for this instance to be ready.
        self.informed = False
        self._links = links
        #: Returns the names of the instances that have a link to this one.
        self._inbound = inbound
        self._view = view
        self._clock = clock
        self._log = log
        self._role = role
        names = (*view.tables(), *view.former.names())
        self._tables = {table: TableFreshness() for table in names}
        self._store_tables = frozenset(view.tables())
        self._stale: set[str] = set()
        #: Content of the tables at the last tick.
        self._contents: dict[str, TableContent] = {}
        #: What is reported of it to readers of the store, and to other instances.
        self._states_for_readers: TableStates = ()
        self._states_for_others: TableStates = ()
        self.peers = PeerSync(
            view,
            clock,
            log,
            links,
            lambda: role.reads_store(name),
            self._newer_peers,
            self._on_ask,
        )
        context = ReaderContext(
            view,
            clock,
            log,
            self.health,
            self.peers.poll_peer,
            lambda: role.reads_store(name),
            self._on_answer,
        )
        self._watchers = [
            StoreWatcher(
                table,
                PEER_TABLE_INTERVAL_MS if table == PEER_TABLE else MIN_CALL_INTERVAL_MS,
                store(),
                context,
            )
            for table in view.tables()
        ]
        self._probe = StoreProbe(store(), context, self._overdue_table)
        operator_table = view.tables()[0]
        #: Evidence that is asked for before a caller is refused.
        self.evidence = ConfigurationEvidence(
            operator_table, self._tables[operator_table], context, store, self.peers
        )
        self._context = context

    def start(self) -> list[Any]:
        """Start the threads that keep the copies current, and return them."""
        runs = [*(watcher.run for watcher in self._watchers), self.peers.run, self._probe.run]
        return [eventlet.spawn(run) for run in runs]

    def tick(self) -> None:
        """Fetch changes that peers report, and give up calls that did not deliver them."""
        now_ms = self._clock.now_ms()
        self._compare_eras()
        for table, freshness in self._tables.items():
            freshness.update_content(self._view.content(table))
            # The store does not deliver rows from before it was restored.
            grace_ms = FEED_GRACE_MS if table in self._store_tables else 0
            if freshness.newer_peers() and freshness.behind_ms(now_ms) >= grace_ms:
                eventlet.spawn_n(self.peers.poll_peer)
            self._report_staleness(table, freshness.is_fresh(now_ms))
        self._update_states()
        for watcher in self._watchers:
            behind = bool(self._tables[watcher.table].newer_peers())
            call, content = watcher.call, self._view.content(watcher.table)
            if call is not None and call.is_dead(now_ms, content, behind):
                watcher.interrupt()

    def evidence_age_ms(self, table: str) -> int | None:
        """Return the age of the evidence that a table is current, None without evidence."""
        evidence_ms = self._tables[table].evidence_ms
        return None if evidence_ms is None else self._clock.now_ms() - evidence_ms

    def configuration_basis(self) -> ConfigurationBasis:
        """Return the copy of the configuration by which callers are admitted or refused."""
        view, origin = self._view, self._view.configuration_origin
        return ConfigurationBasis(
            view.configuration.version if view.configuration else 0,
            era_of(origin.revision),
            counter_of(origin.revision),
            origin.source,
            self.evidence_age_ms(view.tables()[0]),
        )

    def is_informed(self) -> bool:
        """Return whether the copies are good enough to be ready for the first time."""
        # An instance that has been ready goes on with the rows that it had before a restore, and
        # without evidence that its copies are current.
        self.informed = self.informed or not (self.lacks_former_rows() or self.lacks_evidence())
        return self.informed

    def lacks_former_rows(self) -> bool:
        """Return whether a peer has rows that a restored store may lack, and this one has not."""
        now_ms = self._clock.now_ms()
        self._compare_eras()
        return self._awaits_reports() or any(
            freshness.newer_peers() and freshness.behind_ms(now_ms) < FORMER_ROWS_WAIT_MS
            for freshness in map(self._tables.__getitem__, self._view.former.names())
        )

    def _awaits_reports(self) -> bool:
        """Return whether a peer that is reached has not reported yet what a restore took back."""
        if not self._view.store_era or self._clock.now_ms() - self._begun_ms >= EVIDENCE_WAIT_MS:
            return False
        # A restored store may lack the entries of other instances, which then reach this one first.
        if not self._inbound() <= self._view.peers.keys() | {''}:
            return True
        freshness = self._tables[self._watchers[0].table]
        _, links = self._links()
        return any(freshness.reported_content(link.peer.name) is None for link in links)

    def lacks_evidence(self) -> bool:
        """Return whether the store answers, but has not confirmed the configuration yet."""
        watcher = self._watchers[0]
        # Evidence reaches only those that read the store. While it is silent, none can be had, and
        # an instance must be able to start.
        return (
            self._tables[watcher.table].evidence_ms is None
            and self._context.reads_store()
            and self._role.rank() < MAX_PROBERS
            and watcher.healthy
            and self._probe.healthy
            and self._clock.now_ms() - self._begun_ms < EVIDENCE_WAIT_MS
        )

    def report(self, stream: FrameStream, echo_ms: int) -> TableReports | None:
        """Return what a peer must learn in answer to a heartbeat, None if nothing changed."""
        # Only readers of the store need the evidence, and it changes every second.
        is_reader = self._role.reads_store(stream.peer_name)
        states = self._states_for_readers if is_reader else self._states_for_others
        if states == stream.reported:
            return None
        stream.reported = states
        now_ms = self._clock.now_ms()
        reports = []
        for state in states:
            age_ms = None if state.evidence_ms is None else now_ms - state.evidence_ms
            reports.append(TableReport(state.table, self._contents[state.table], age_ms))
        return TableReports(echo_ms, tuple(reports))

    def on_reports(self, peer: str, reports: TableReports) -> None:
        """Process the reports of a peer."""
        # Builds that know no eras take answers of any era for a confirmation of their copies, and
        # report no rows from before a restore.
        knows_eras = any(is_former_name(report.table) for report in reports.reports)
        for report in reports.reports:
            if self._view.store_era and not knows_eras:
                report = report._replace(evidence_age_ms=None)
            if freshness := self._tables.get(report.table):
                freshness.update_content(self._view.content(report.table))
                freshness.peer_reported(peer, report, reports.echo_ms)

    def forget_peer(self, peer: str) -> None:
        """Discard the reports of a peer that is unreachable."""
        for freshness in self._tables.values():
            freshness.forget_peer(peer)

    def _compare_eras(self) -> None:
        """Treat copies of peers from before a restore like the rows that are kept of them."""
        if not self._view.store_era:
            return
        for table in self._store_tables:
            freshness, former = self._tables[table], self._tables[former_name(table)]
            freshness.update_content(self._view.content(table))
            former.update_content(self._view.content(former_name(table)))
            for peer, content in freshness.earlier_copies().items():
                former.peer_reported(peer, TableReport(former_name(table), content, None), 0)

    def _update_states(self) -> None:
        self._contents = {table: self._view.content(table) for table in self._tables}
        self._states_for_readers = tuple(
            TableState(table, self._contents[table].digest, freshness.own_evidence_ms)
            for table, freshness in self._tables.items()
            if table in self._store_tables or self._view.store_era
        )
        self._states_for_others = tuple(
            state._replace(evidence_ms=None) for state in self._states_for_readers
        )

    def _newer_peers(self) -> set[str]:
        return set().union(*(each.newer_peers() for each in self._tables.values()))

    def _on_ask(self, peer: str) -> Callable[[], None]:
        # Builds without eras do not give their copies as rows from before a restore, so that they
        # must not be asked again. What a peer reports while it is asked may not be in its answer.
        tables = [self._tables[name] for name in self._view.former.names()]
        contents = [each.reported_content(peer) for each in tables]

        def on_adopted() -> None:
            for freshness, content in zip(tables, contents, strict=True):
                freshness.peer_answered(peer, content)

        return on_adopted

    def _on_answer(self, answer: StoreAnswer) -> bool:
        if answer.revision < max(map(self._view.revision, self._store_tables)):
            return False
        if answer.whole:
            return True
        # The store has one counter for all tables: a copy of this version or a later one lacked
        # nothing when the answer was created.
        for table in self._store_tables:
            freshness, content = self._tables[table], self._view.content(table)
            if content.revision >= answer.revision:
                freshness.update_content(content)
                freshness.store_answered(answer.begun_ms, answer.probe)
        return True

    def _overdue_table(self) -> str | None:
        if not self._context.reads_store():
            return None
        now_ms, rank = self._clock.now_ms(), self._role.rank()
        for watcher in self._watchers:
            # A watcher whose calls fail repeats them in short intervals.
            known = watcher.healthy and self._view.revision(watcher.table)
            if known and self._tables[watcher.table].is_probe_due(now_ms, rank):
                return watcher.table
        return None

    def _report_staleness(self, table: str, fresh: bool) -> None:
        age_ms = self.evidence_age_ms(table)
        if age_ms is None or not self._context.reads_store() or fresh != (table in self._stale):
            return
        if fresh:
            self._stale.discard(table)
        else:
            self._stale.add(table)
        self._log.event(
            'freshness_regained' if fresh else 'freshness_lost', table=table, age_ms=age_ms
        )

"""Local copy of the store tables at one instance."""

from __future__ import annotations

import contextlib
import logging
from typing import TYPE_CHECKING, NamedTuple

from godwitthread.core.row_faults import RowFault, RowFaults
from godwitthread.core.store_version import counter_of, era_of
from godwitthread.core.table_freshness import TableContent
from godwitthread.gateway.former_tables import FormerTables, former_name, is_former_name
from godwitthread.gateway.ports import StoredRow, StoredRows, Undecodable
from godwitthread.gateway.store_rows import (
    MAX_REASON_LENGTH,
    PEER_TABLE,
    Snapshot,
    decode_peer,
    decode_row,
    digest_of,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Configuration, Member, Peer
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Schema

logger = logging.getLogger(__name__)

#: Source of content that was read from the store; other sources are names of instances.
STORE = 'store'
#: Time after which a member whose entry disappeared from the store is dropped, in ms. Entries
#: that expired during a store outage reappear within 2 s of its end.
MISSING_MEMBER_MS = 2_500
#: Number of rows of one answer that are reported without the rate limit for failures.
MAX_REPORTS = 20
#: Interval at which content is applied again after a failure, in ms. It needs no call to the store.
APPLY_RETRY_MS = 1_000


class _Failure(NamedTuple):
    """Failure to apply the content of a table."""

    since_ms: int
    tried_ms: int


class ConfigurationOrigin(NamedTuple):
    """Row that the configuration in force was decoded from."""

    #: Version of the row.
    revision: int
    #: STORE, or the name of the peer whose copy had the row.
    source: str


class StoreView:
    """Copy of the store tables and their decoded rows."""

    def __init__(
        self, schema: Schema, clock: Clock, log: Log, on_change: Callable[[str], None]
    ) -> None:
        self.configuration: Configuration | None = None
        self.members: dict[str, Member] = {}
        self.peers: dict[str, Peer] = {}
        #: Failure domains to evacuate.
        self.evacuated: set[str] = set()
        self._schema = schema
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._tables: dict[str, dict[str, StoredRow]] = {}
        self._revisions: dict[str, int] = {}
        self._digests: dict[str, int] = {}
        #: Store version by which the content of a table had last changed.
        self._changed: dict[str, int] = {}
        self._missing: dict[str, int] = {}
        #: Rows from before a restore of the store.
        self.former = FormerTables(schema, clock, log)
        #: Row of the configuration in force.
        self.configuration_origin = ConfigurationOrigin(0, '')
        #: Configuration in the store that is not the one in force, None if it is in force.
        self.not_adopted: Configuration | None = None
        #: Version of the last row that was reported as not adopted.
        self._not_adopted = 0
        #: Number of answers of the store that were older than the copy of their table.
        self.outdated_answers = 0
        self._faults = {table: RowFaults() for table in self.tables()}
        #: Tables whose content could not be adopted.
        self._unapplied: dict[str, _Failure] = {}

    def tables(self) -> tuple[str, str, str]:
        """Return the names of the copied tables."""
        return self._schema.operator_table, self._schema.member_table, PEER_TABLE

    @property
    def store_era(self) -> int:
        """Return the newest era of the store that is known."""
        return era_of(max(self._revisions.values(), default=0))

    def revision(self, table: str) -> int:
        """Return the store version of the copy of a table, 0 without a copy."""
        return self._revisions.get(table, 0)

    def content(self, table: str) -> TableContent:
        """Return what identifies the content of the copy of a table."""
        if is_former_name(table):
            return self.former.content(table)
        return TableContent(self.revision(table), self._digests.get(table, 0))

    def replace(self, table: str, content: StoredRows, source: str = STORE) -> None:
        """Replace a whole table, unless the content is not newer than the copy."""
        self._check_answer(table, content, source)
        known = self.revision(table)
        if content.revision <= known:
            if table in self._unapplied:
                self._adopt(table, source)
            return
        rows = {row.key: row for row in content.rows}
        self.former.read_copy(table, content.revision)
        if known and era_of(content.revision) > era_of(known):
            self.former.keep(table, self._tables[table], known, content, source)
        self._tables[table] = rows
        self._revisions[table] = content.revision
        self._adopt(table, source)

    def replace_from(self, snapshot: Snapshot, peer: str) -> None:
        """Replace a table by the copy of another instance if that is newer."""
        if not is_former_name(snapshot.table):
            self.replace(snapshot.table, StoredRows(snapshot.rows, snapshot.revision), peer)
        elif table := self.former.adopt(snapshot, self._tables, self._revisions):
            self._adopt(table, peer)

    def apply_changes(self, table: str, content: StoredRows) -> None:
        """Apply the changes of a table, unless they are not newer than the copy."""
        self._check_answer(table, content, STORE)
        if content.revision <= self.revision(table):
            return
        rows = self._tables.setdefault(table, {})
        for row in content.rows:
            if row.value is None:
                rows.pop(row.key, None)
                self.former.remove(table, row.key)
            else:
                rows[row.key] = row
        self._revisions[table] = content.revision
        if content.rows:
            self._adopt(table, STORE)

    def malformed_rows(self, table: str) -> int:
        """Return the number of rows of a table that could not be decoded."""
        return len(self._faults[table])

    def not_in_force_ms(self, table: str) -> int:
        """Return for how long a part of the content has not been in force, 0 if all is, in ms."""
        now_ms = self._clock.now_ms()
        failure = self._unapplied.get(table)
        unapplied_ms = now_ms - failure.since_ms if failure else 0
        return max(unapplied_ms, self._faults[table].age_ms(now_ms))

    def newer_than(self, revisions: dict[str, int]) -> tuple[Snapshot, ...]:
        """Return the tables whose content has changed since the given versions."""
        tables = tuple(
            Snapshot(table, self._revisions[table], tuple(rows.values()))
            for table, rows in self._tables.items()
            if self._changed.get(table, 0) > revisions.get(table, 0)
        )
        # To a peer in a later era, this copy is from before a restore. Older builds do not ask so.
        earlier = tuple(
            Snapshot(former_name(table), known, self.former.rows_of_copy(table, rows))
            for table, rows in self._tables.items()
            if era_of(known := self._revisions[table]) < era_of(revisions.get(table, 0))
            and known > revisions.get(former_name(table), known)
        )
        return tables + earlier + self.former.newer_than(revisions)

    def revisions(self) -> dict[str, int]:
        """Return the version of the copy of every table, and of the rows from before a restore."""
        return self._revisions | (self.former.revisions() if self.store_era else {})

    def row_revision(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        row = self._tables.get(table, {}).get(key)
        return row.revision if row else 0

    def row_value(self, table: str, key: str) -> bytes | None:
        """Return the content of a row, None if it does not exist."""
        row = self._tables.get(table, {}).get(key)
        return row.value if row else None

    def drop_missing_members(self) -> None:
        """Drop members whose entry has been missing for MISSING_MEMBER_MS."""
        now_ms = self._clock.now_ms()
        gone = [
            key for key, since_ms in self._missing.items() if now_ms - since_ms >= MISSING_MEMBER_MS
        ]
        for member_id in gone:
            del self._missing[member_id]
            self.members.pop(member_id, None)
            self._log.event('member_gone', member=member_id)
        if gone:
            self._adopt(self._schema.member_table, STORE)

    def end_former_rows(self) -> None:
        """Drop rows from before a restore that have held for long enough."""
        for table, rows in self._tables.items():
            if self.former.end(table, rows):
                self._adopt(table, STORE)

    def retry(self) -> None:
        """Apply content again whose last attempt failed APPLY_RETRY_MS ago."""
        now_ms = self._clock.now_ms()
        for table, failure in list(self._unapplied.items()):
            if now_ms - failure.tried_ms >= APPLY_RETRY_MS:
                with contextlib.suppress(Exception):
                    self._adopt(table, STORE)

    def _check_answer(self, table: str, content: StoredRows, source: str) -> None:
        """Report an answer of the store that is older than the copy."""
        known = self.revision(table)
        if source == STORE and content.revision < known:
            self.outdated_answers += 1
            self._log.failure(
                'store_answer_outdated',
                table=table,
                era=era_of(content.revision),
                revision=counter_of(content.revision),
                copy_era=era_of(known),
                copy_revision=counter_of(known),
            )

    def _adopt(self, table: str, source: str) -> None:
        now_ms = self._clock.now_ms()
        failure = self._unapplied.get(table)
        try:
            self._decode(table, source)
            self._on_change(table)
        except Exception as exc:
            if failure is None:
                logger.exception('content of table %s not applied', table)
                reason = f'{type(exc).__name__}: {exc}'[:MAX_REASON_LENGTH]
                self._log.event('table_not_applied', table=table, reason=reason)
            since_ms = failure.since_ms if failure else now_ms
            self._unapplied[table] = _Failure(since_ms, now_ms)
            raise
        if failure is not None:
            del self._unapplied[table]
            age_ms = now_ms - failure.since_ms
            self._log.event('table_applied', table=table, not_in_force_ms=age_ms)

    def _decode(self, table: str, source: str) -> None:
        rows = self._tables[table]
        revision, digest = self._revisions[table], digest_of(rows)
        restored = era_of(revision) != era_of(self._changed.get(table, 0))
        if digest != self._digests.get(table) or restored:
            self._digests[table], self._changed[table] = digest, revision
        self.former.end(table, rows)
        rows = self.former.over(table, rows)
        if table == self._schema.operator_table:
            self._report_faults(table, self._decode_operator_rows(rows, source))
        elif table == self._schema.member_table:
            self._report_faults(table, self._decode_members(rows))
        elif table == PEER_TABLE:
            self._report_faults(table, self._decode_peers(rows))

    def _decode_operator_rows(self, rows: dict[str, StoredRow], source: str) -> dict[str, RowFault]:
        prefix = self._schema.evacuation_prefix
        evacuated = {key.removeprefix(prefix) for key in rows if key.startswith(prefix)}
        if evacuated != self.evacuated:
            self._log.event('evacuation_changed', failure_domains=sorted(evacuated), source=source)
        self.evacuated = evacuated
        row = rows.get(self._schema.configuration_key)
        if row is None:
            return {}
        cfg = decode_row(self._schema.configuration, row.value or b'')
        if isinstance(cfg, Undecodable):
            return {row.key: RowFault(row.revision, cfg.reason)}
        # A restored store may have another content under the version that is in force.
        era, known = era_of(row.revision), self.configuration
        known_era = era_of(self.configuration_origin.revision)
        if (
            known is None
            or (cfg.version, era) > (known.version, known_era)
            or (era > known_era and self.former.configuration.is_released(row))
            or (cfg.version == known.version and self._replaces_repetition(row))
        ):
            self.configuration = cfg
            self.former.configuration.in_force(row)
            self.configuration_origin = ConfigurationOrigin(row.revision, source)
            self._log.event(
                'configuration_adopted',
                version=cfg.version,
                era=era,
                revision=counter_of(row.revision),
                source=source,
            )
        self._report_not_adopted()
        if cfg.left_out:
            reason = f'left out: {"; ".join(cfg.left_out)}'[:MAX_REASON_LENGTH]
            return {row.key: RowFault(row.revision, reason)}
        return {}

    def _replaces_repetition(self, row: StoredRow) -> bool:
        """Return whether a row holds in place of an older one of the same version."""
        kept = self.former.rows(self._schema.operator_table).get(row.key)
        return kept is row and row.revision != self.configuration_origin.revision

    def _report_not_adopted(self) -> None:
        """Report a configuration of the store that is not newer than the one in force."""
        row = self._tables[self._schema.operator_table].get(self._schema.configuration_key)
        origin, known = self.configuration_origin, self.configuration
        if row is None or known is None or row.revision == origin.revision:
            self._not_adopted, self.not_adopted = 0, None
            return
        # The same row comes again with each change of another row.
        if row.revision == self._not_adopted:
            return
        self._not_adopted, self.not_adopted = row.revision, None
        cfg = decode_row(self._schema.configuration, row.value or b'')
        if not isinstance(cfg, Undecodable):
            self.not_adopted = cfg
            self._log.event(
                'configuration_not_adopted',
                version=cfg.version,
                era=era_of(row.revision),
                revision=counter_of(row.revision),
                version_in_force=known.version,
                era_in_force=era_of(origin.revision),
                revision_in_force=counter_of(origin.revision),
            )

    def _decode_members(self, rows: dict[str, StoredRow]) -> dict[str, RowFault]:
        members: dict[str, Member] = {}
        faults: dict[str, RowFault] = {}
        for key, row in rows.items():
            member = decode_row(self._schema.member, key, row.value or b'')
            if isinstance(member, Undecodable):
                faults[key] = RowFault(row.revision, member.reason)
            else:
                # A row that holds in place of a restored one is newer than all restored rows.
                kept = key in self.former.rows(self._schema.member_table)
                revision = self.revision(self._schema.member_table) if kept else row.revision
                members[key] = member._replace(revision=revision)
        # A malformed entry names no member, so that it counts as missing.
        for key in members.keys() & self._missing.keys():
            del self._missing[key]
        now_ms = self._clock.now_ms()
        for key in self.members.keys() - members.keys():
            # If another member uses the address, the missing member no longer does.
            taken = {member.address for member in members.values()}
            if self.members[key].address in taken:
                continue
            self._missing.setdefault(key, now_ms)
            members[key] = self.members[key]
        self.members = members
        return faults

    def _decode_peers(self, rows: dict[str, StoredRow]) -> dict[str, RowFault]:
        peers: dict[str, Peer] = {}
        faults: dict[str, RowFault] = {}
        for key, row in rows.items():
            peer = decode_row(decode_peer, key, row.value or b'')
            if not isinstance(peer, Undecodable):
                peers[key] = peer
                continue
            faults[key] = RowFault(row.revision, peer.reason)
            # The instance writes its entry again within 2 s. Without the former content, the
            # owners of many groups would change twice until then.
            if key in self.peers:
                peers[key] = self.peers[key]
        self.peers = peers
        return faults

    def _report_faults(self, table: str, faults: dict[str, RowFault]) -> None:
        changes = self._faults[table].update(self._clock.now_ms(), faults)
        for number, (key, fault) in enumerate(changes.found.items()):
            # A row is reported only once, so that its event must not be suppressed because of
            # failures of another kind.
            write = self._log.event if number < MAX_REPORTS else self._log.failure
            write(
                'row_undecodable',
                table=table,
                row=key,
                revision=counter_of(fault.revision),
                reason=fault.reason,
            )
        for number, (key, age_ms) in enumerate(changes.ended_ms.items()):
            write = self._log.event if number < MAX_REPORTS else self._log.failure
            write('row_recovered', table=table, row=key, malformed_ms=age_ms)

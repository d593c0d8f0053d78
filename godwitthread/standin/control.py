"""SQL control functions of a member of the database stand-in."""

from __future__ import annotations

import json
import re
from typing import TYPE_CHECKING, Any

from godwitthread.standin import store
from godwitthread.standin.member import replica_reports

if TYPE_CHECKING:
    from godwitthread.standin.group import Group
    from godwitthread.standin.member import Member

_STATUS = re.compile(r'\s*select\s+\*\s+from\s+godwit_status\s*\(\s*\)\s*;?\s*$', re.IGNORECASE)
STATUS_COLUMNS = (
    'member',
    'role',
    'term',
    'offset',
    'promised_term',
    'promised_to',
    'lag_ms',
    'writable',
    'history',
    'connections',
    'connection_limit',
    'replicas',
)


def is_control(sql: str) -> bool:
    """Tell whether a statement calls a control function."""
    return 'godwit_' in sql.lower() and 'godwit_position' not in sql.lower()


class ControlFunctions:
    """Run control functions on behalf of one member."""

    def __init__(self, group: Group, member: Member) -> None:
        self._group = group
        self._member = member
        self._conn = store.connect()
        self._conn.create_function('godwit_fence', 2, self._fence)
        self._conn.create_function('godwit_promote', 2, self._promote)
        self._conn.create_function('godwit_follow', 2, self._follow)

    def run(self, sql: str, params: dict[str, Any]) -> store.Rows:
        """Run a statement that calls a control function; raise SqlError."""
        if _STATUS.match(sql):
            return store.Rows(STATUS_COLUMNS, [self._status()], -1)
        return store.execute(self._conn, store.Statement(sql, params))

    def _status(self) -> tuple[Any, ...]:
        member = self._member
        now_ms = self._group.clock.now_ms()
        primary = member.role == 'primary'
        position = member.position_at(member.applied_end)
        return (
            member.name,
            member.role,
            position.term,
            position.offset,
            member.promised.term,
            member.promised.proposer,
            0 if primary else max(0, now_ms - member.fresh_ms),
            member.writable,
            json.dumps(member.history),
            self._group.connections(member),
            self._group.settings.connection_limit,
            replica_reports(member, now_ms) if primary else '[]',
        )

    def _fence(self, term: int, proposer: str) -> str:
        member = self._member
        granted = member.fence(int(term), proposer)
        return json.dumps(
            {
                'granted': granted,
                'promised_term': member.promised.term,
                'promised_to': member.promised.proposer,
                'term': member.term,
                'offset': member.end,
                'history': member.history,
            }
        )

    def _promote(self, term: int, proposer: str) -> str:
        member = self._member
        promoted = member.promote(int(term), proposer)
        return json.dumps(
            {
                'promoted': promoted,
                'term': member.term,
                'start_offset': member.history[-1].offset,
                'history': member.history,
            }
        )

    def _follow(self, term: int, primary: str) -> str:
        member = self._member
        was_primary = member.role == 'primary'
        following = member.follow(int(term), primary)
        if following and was_primary:
            self._group.drop_clients(member)
        if following:
            self._group.catch_up(member)
        return json.dumps({'following': following, 'term': member.term, 'offset': member.end})

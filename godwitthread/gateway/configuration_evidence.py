"""Evidence for the configuration that is asked for before a caller is refused for good."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core.refusal_evidence import (
    MAX_WAIT_MS,
    PEER_RETRY_MS,
    STORE_RETRY_MS,
    RefusalEvidence,
    Verdict,
)
from godwitthread.core.table_freshness import TableReport
from godwitthread.errors import ProxyError
from godwitthread.gateway.store_probe import confirm
from godwitthread.gateway.store_rows import Snapshot
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.table_freshness import TableFreshness
    from godwitthread.gateway.peer_sync import PeerSync
    from godwitthread.gateway.ports import Store
    from godwitthread.gateway.store_watcher import ReaderContext

logger = logging.getLogger(__name__)

#: Time for which a reader that is asked waits for the store, in ms. Its answer must arrive while
#: the callers of the instance that asks are waiting.
READER_WAIT_MS = 200
#: Time for which evidence given to a peer must still hold, in ms; it covers the way of the answer
#: and the callers that join the call.
READER_MARGIN_MS = 500


class EvidenceRequest(NamedTuple):
    """Request for the evidence of a reader, and for the tables that are newer than these."""

    revisions: dict[str, int]


class EvidenceAnswer(NamedTuple):
    """Evidence of a reader for its operator table, and what the sender of the request lacks."""

    report: TableReport
    tables: tuple[Snapshot, ...]


_answers = msgspec.msgpack.Decoder(EvidenceAnswer)


class ConfigurationEvidence:
    """Find out whether the configuration is known to be current before a caller is refused."""

    def __init__(
        self,
        table: str,
        freshness: TableFreshness,
        context: ReaderContext,
        store: Callable[[], Store],
        peers: PeerSync,
    ) -> None:
        self._table = table
        self._freshness = freshness
        self._context = context
        #: Creates a client. Each call has its own connection: an idle one may be dead unnoticed.
        self._store = store
        self._peers = peers
        self._clock = context.clock
        self._state = RefusalEvidence()
        self._ended = eventlet.event.Event()

    def is_refusal_final(self) -> bool:
        """Return whether a caller that the copy does not know now is refused for good.

        Waits for an answer that may tell. The copy may be newer afterwards.
        """
        return self._is_covered(self._clock.now_ms(), MAX_WAIT_MS)

    def answer(self, request: EvidenceRequest) -> EvidenceAnswer:
        """Answer a peer that does not read the store itself."""
        if self._context.reads_store():
            # Evidence that is about to expire is renewed first.
            self._is_covered(self._clock.now_ms() + READER_MARGIN_MS, READER_WAIT_MS)
        view, evidence_ms = self._context.view, self._freshness.evidence_ms
        age_ms = None if evidence_ms is None else self._clock.now_ms() - evidence_ms
        report = TableReport(self._table, view.content(self._table), age_ms)
        return EvidenceAnswer(report, view.newer_than(request.revisions))

    def _is_covered(self, arrived_ms: int, wait_ms: int) -> bool:
        state, freshness, now_ms = self._state, self._freshness, self._clock.now_ms()
        retry_ms = STORE_RETRY_MS if self._context.reads_store() else PEER_RETRY_MS
        if state.is_call_due(now_ms, arrived_ms, freshness.evidence_ms, retry_ms):
            self._start_call(now_ms)
        while True:
            verdict, left_ms = state.judge(now_ms, arrived_ms, freshness.evidence_ms, wait_ms)
            if verdict is not Verdict.WAIT:
                return verdict is Verdict.REFUSE
            with eventlet.Timeout(left_ms / 1000, False):
                self._ended.wait()
            now_ms = self._clock.now_ms()

    def _start_call(self, now_ms: int) -> None:
        self._state.call_began(now_ms)
        self._ended = eventlet.event.Event()
        eventlet.spawn_n(self._call, now_ms, self._ended)

    def _call(self, begun_ms: int, ended: eventlet.event.Event) -> None:
        try:
            if self._context.reads_store():
                self._ask_store()
            else:
                self._ask_peer(begun_ms)
        except (ProxyError, msgspec.DecodeError) as exc:
            # The refusals that are postponed are reported; so is the store by its other readers.
            logger.debug('no evidence for the configuration: %s', exc)
        except Exception:
            logger.exception('evidence for the configuration not read')
        finally:
            self._state.call_ended(self._freshness.evidence_ms)
            ended.send()

    def _ask_store(self) -> None:
        store = self._store()
        try:
            # After a reload, only a further call is evidence.
            if not confirm(store, self._context, self._table):
                confirm(store, self._context, self._table)
        finally:
            store.close()

    def _ask_peer(self, begun_ms: int) -> None:
        link = self._peers.choose_link()
        if link is None:
            return
        view, name = self._context.view, link.peer.name
        # Builds that do not know this call answer that there is no handler.
        body = link.call('evidence', EvidenceRequest(view.revisions()), MAX_WAIT_MS)
        answer = _answers.decode(body)
        if self._peers.adopt(answer.tables, name):
            self._freshness.update_content(view.content(self._table))
            self._freshness.peer_reported(name, answer.report, begun_ms)

"""Evidence that is asked for before a caller is refused."""

from __future__ import annotations

import msgspec
import pytest

from godwitthread.clock import Clock
from godwitthread.core.shutdown import Phase
from godwitthread.core.statements import Verb
from godwitthread.core.table_freshness import TableFreshness, TableReport
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.configuration_evidence import (
    ConfigurationEvidence,
    EvidenceAnswer,
    EvidenceRequest,
)
from godwitthread.gateway.peer_sync import PeerSync
from godwitthread.gateway.session import CallerPort
from godwitthread.gateway.sessions import Sessions
from godwitthread.gateway.store_health import StoreHealth
from godwitthread.gateway.store_rows import Snapshot
from godwitthread.gateway.store_view import StoreView
from godwitthread.gateway.store_watcher import ReaderContext
from godwitthread.loop import eventlet
from godwitthread.platform.row_decoding import SCHEMA
from tests.test_gateway.fakes import configuration as known_configuration
from tests.test_gateway.fakes import quiet_log
from tests.test_gateway.restored_content import configuration, content
from tests.test_gateway.test_peer_sync import FakeLink
from tests.test_gateway.test_sessions import statement


class Failing(FakeLink):
    """Link whose calls fail."""

    def call(self, kind, body, timeout_ms):
        raise ProxyError(ErrorKind.NOT_FOUND, f'no handler for {kind}')


def view_with(version: int) -> StoreView:
    """Build a copy of the store with a version of the configuration."""
    clock = Clock()
    view = StoreView(SCHEMA, clock, quiet_log(clock), lambda _: None)
    view.replace('op', content(0, version, configuration(version)))
    return view


def evidence_of(view: StoreView, link: FakeLink | None) -> ConfigurationEvidence:
    """Build the evidence of an instance that does not read the store, and has one peer."""
    clock = Clock()
    log = quiet_log(clock)
    links = [link] if link else []
    peers = PeerSync(view, clock, log, lambda: ([], links), lambda: False, set, lambda _: list)
    context = ReaderContext(
        view, clock, log, StoreHealth(), peers.poll_peer, lambda: False, lambda _: False
    )
    return ConfigurationEvidence('op', TableFreshness(), context, lambda: None, peers)


def answer(age_ms: int | None, reported: int = 7, sent: int = 0) -> bytes:
    """Build the answer of a reader, with a table if `sent` is its version."""
    tables = [Snapshot('op', sent, content(0, sent, configuration(sent)).rows)] if sent else []
    report = TableReport('op', view_with(reported).content('op'), age_ms)
    return msgspec.msgpack.encode(EvidenceAnswer(report, tuple(tables)))


@pytest.mark.parametrize(
    ('link', 'final', 'version'),
    [
        (FakeLink(answer(1_000)), True, 7),
        (FakeLink(answer(1_000, reported=9, sent=9)), True, 9),
        # Older content was complete, so that newer content is.
        (FakeLink(answer(1_000, reported=5)), True, 7),
        # A reader without evidence, or with old evidence, proves nothing.
        (FakeLink(answer(None)), False, 7),
        (FakeLink(answer(3_500)), False, 7),
        # What it has is not known here.
        (FakeLink(answer(1_000, reported=9)), False, 7),
        (FakeLink(b'\xc1'), False, 7),
        # A build that does not know the call, and no peer at all.
        (Failing(b''), False, 7),
        (None, False, 7),
    ],
)
def test_a_refusal_needs_the_evidence_of_a_reader(link, final, version):
    """Guard against refusals by a copy that no reader of the store has confirmed."""
    view = view_with(7)
    evidence = evidence_of(view, link)
    assert evidence.is_refusal_final() is final
    assert view.configuration.version == version


def test_a_peer_gets_what_it_lacks_and_the_age_of_the_evidence():
    """Guard against a reader without evidence whose answer looks like a confirmation."""
    reader = evidence_of(view_with(9), None)
    request = EvidenceRequest({'op': 7})
    assert reader.answer(request).report.evidence_age_ms is None
    reader._freshness.update_content(reader._context.view.content('op'))
    reader._freshness.store_answered(reader._clock.now_ms() - 1_000)
    given = reader.answer(request)
    assert 1_000 <= given.report.evidence_age_ms < 1_500
    assert [table.revision for table in given.tables] == [9]


@pytest.mark.parametrize('verb', [Verb.BEGIN, Verb.READ])
def test_a_statement_that_waits_for_evidence_does_not_run_after_the_final_answer(verb):
    """Guard against a statement that runs although its caller was told that it did not."""
    clock, given, answers, ran = Clock(), eventlet.event.Event(), [], []
    known = [known_configuration()]
    sessions = Sessions(
        clock,
        lambda: known[0],
        lambda *args: ran.append(args),
        quiet_log(clock),
        lambda *_: None,
        is_refusal_final=given.wait,
    )
    session, _ = sessions.open('orders-db', 'k1')
    session.attach(CallerPort(lambda: None, lambda: False, answers.append))
    known[0] = known_configuration(2, keys=())
    session.running = True
    running = eventlet.spawn(session.run, statement(verb))
    eventlet.sleep(0)
    sessions.enter(Phase.STOPPING)
    sessions.answer_running()
    assert [each.error for each in answers] == ['transaction_lost']
    known[0] = known_configuration(3)
    given.send(True)
    assert running.wait().error == 'shutting_down'
    assert ran == []

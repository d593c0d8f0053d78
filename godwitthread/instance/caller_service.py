"""Operations of the caller protocol, from a decoded request to its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.invariants import Promise
from godwitthread.core.token import (
    SessionToken,
    advance,
    decode_token,
    decode_transaction,
    encode_token,
    encode_transaction,
)
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.instance.admission import RateLimiter, authenticate
from godwitthread.instance.execution import ExecutionRequest
from godwitthread.instance.protocol import contains_text

if TYPE_CHECKING:
    from godwitthread.core.token import TransactionId
    from godwitthread.instance.admission import AdmittedRequest
    from godwitthread.instance.execution import Executor
    from godwitthread.instance.forwarding import Forwarder
    from godwitthread.instance.protocol import Request, Response, Statement
    from godwitthread.instance.state import InstanceState
    from godwitthread.instance.transactions import Transaction, Transactions
    from godwitthread.manifest.directory import Caller
    from godwitthread.types import Position


class CallerService:
    """Run the operations of callers on this instance or forward them."""

    def __init__(
        self,
        state: InstanceState,
        executor: Executor,
        transactions: Transactions,
        forwarder: Forwarder,
    ) -> None:
        self._state = state
        self._executor = executor
        self._transactions = transactions
        self._forwarder = forwarder
        self._rate_limiter = RateLimiter(state)

    def execute(self, key: str | None, req: Request) -> Response:
        """Run one statement, on its own or inside a transaction."""
        self._state.invariants.check(
            Promise.KEY_NOT_FORWARDED,
            not contains_text(_require_statement(req), key),
            'key in a statement',
        )
        if req.transaction is not None:
            return self._in_transaction(key, req)
        admitted = authenticate(self._state, key, req.route)
        req = req._replace(statement=_with_route_defaults(_require_statement(req), admitted))
        token = self._token(req, admitted)
        if not self._forwarder.has_seat():
            return self._forwarder.execute(admitted, req, charge=True)
        self.charge(admitted, req)
        if self._forwarder.is_remote(admitted.route.database):
            return self._forwarder.execute(admitted, req, charge=False)
        return self.execute_admitted(admitted, req, token)

    def execute_admitted(
        self, admitted: AdmittedRequest, req: Request, token: SessionToken | None
    ) -> Response:
        """Run one statement of an admitted request on this instance."""
        token = token or SessionToken(admitted.organisation, {})
        database = admitted.route.database
        request = ExecutionRequest(
            req.request_id,
            admitted,
            _require_statement(req),
            token.position(database),
            req.deadline_ms,
        )
        result = self._executor.run(request)
        self._state.metrics.statements_served.labels(request.statement.mode, result.role).inc()
        return {
            'columns': list(result.result.columns),
            'rows': result.result.rows,
            'row_count': result.result.row_count,
            'session': self._encode_session(token, database, result.position),
            'transaction': None,
            'request_id': req.request_id,
            'served_by': result.role,
        }

    def charge(self, admitted: AdmittedRequest, req: Request) -> None:
        """Apply the rate limit of a request on this instance."""
        self._rate_limiter.acquire(admitted.resource, req.deadline_ms)

    def begin(self, key: str | None, req: Request) -> Response:
        """Begin a transaction and return its id."""
        admitted = authenticate(self._state, key, req.route)
        self.charge(admitted, req)
        if admitted.route.read_only:
            raise ProxyError(ErrorKind.READ_ONLY_ROUTE, 'the route allows reads only')
        if self._forwarder.is_remote(admitted.route.database):
            return self._forwarder.begin(admitted, req)
        return self.begin_admitted(admitted, req)

    def begin_admitted(self, admitted: AdmittedRequest, req: Request) -> Response:
        """Begin a transaction of an admitted request on this instance."""
        token = self._token(req, admitted)
        transaction = self._transactions.begin(admitted, req.deadline_ms)
        return {
            'transaction': encode_transaction(transaction.id, self._state.settings.token_key),
            'session': encode_token(token, self._state.settings.token_key),
            'request_id': req.request_id,
        }

    def end(self, key: str | None, req: Request, commit: bool) -> Response:
        """Commit or roll back a transaction."""
        caller = self._caller(key)
        id_ = self.transaction_id(caller.organisation, req)
        if not self._forwarder.holds_transaction(id_):
            return self._forwarder.end(id_, caller, req, commit)
        return self.end_local(id_, req, commit)

    def end_local(self, id_: TransactionId, req: Request, commit: bool) -> Response:
        """Commit or roll back a transaction of this instance."""
        transaction = self._transactions.find(id_)
        token = self._token(req, transaction.admitted)
        position = None
        if commit:
            position = self._transactions.commit(transaction, req.deadline_ms)
        else:
            self._transactions.rollback(transaction)
        database = transaction.admitted.route.database
        return {
            'session': self._encode_session(token, database, position),
            'transaction': None,
            'request_id': req.request_id,
        }

    def run_local(self, id_: TransactionId, req: Request) -> Response:
        """Run a statement inside a transaction of this instance."""
        transaction = self._transactions.find(id_)
        self.charge(transaction.admitted, req)
        result = self._transactions.run(
            transaction, _require_statement(req), req.request_id, req.deadline_ms
        )
        token = self._token(req, transaction.admitted)
        return {
            'columns': list(result.columns),
            'rows': result.rows,
            'row_count': result.row_count,
            'session': encode_token(token, self._state.settings.token_key),
            'transaction': self._encode_transaction(transaction),
            'request_id': req.request_id,
            'served_by': 'primary',
        }

    def transaction_id(self, organisation: str, req: Request) -> TransactionId:
        """Return the transaction id of a request after checking its signature."""
        keys = self._state.settings.token_key
        return decode_transaction(req.transaction or '', organisation, keys)

    def _in_transaction(self, key: str | None, req: Request) -> Response:
        caller = self._caller(key)
        id_ = self.transaction_id(caller.organisation, req)
        if not self._forwarder.holds_transaction(id_):
            return self._forwarder.run(id_, caller, req)
        return self.run_local(id_, req)

    def _caller(self, key: str | None) -> Caller:
        # No readiness check: open transactions may end while the instance drains.
        directory = self._state.directory
        if directory is None:
            raise ProxyError(ErrorKind.STALE_CONFIGURATION, 'the instance has no configuration')
        return directory.authenticate(key)

    def _encode_transaction(self, transaction: Transaction) -> str:
        return encode_transaction(transaction.id, self._state.settings.token_key)

    def _token(self, req: Request, admitted: AdmittedRequest) -> SessionToken:
        if not req.session:
            return SessionToken(admitted.organisation, {})
        return decode_token(req.session, admitted.organisation, self._state.settings.token_key)

    def _encode_session(self, token: SessionToken, database: str, position: Position | None) -> str:
        if position is not None:
            token = advance(token, database, position, self._state.view(database).history)
        return encode_token(token, self._state.settings.token_key)


def _require_statement(req: Request) -> Statement:
    if req.statement is None:
        raise ProxyError(ErrorKind.MALFORMED_REQUEST, 'body: missing sql')
    return req.statement


def _with_route_defaults(statement: Statement, admitted: AdmittedRequest) -> Statement:
    route = admitted.route
    if statement.mode == 'write' and route.read_only:
        raise ProxyError(ErrorKind.READ_ONLY_ROUTE, 'the route allows reads only')
    if statement.mode == 'read' and statement.max_age_ms is None and route.max_age_ms:
        return statement._replace(max_age_ms=route.max_age_ms)
    return statement

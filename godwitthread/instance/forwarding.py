"""Forwarding of requests to the instance that holds their transaction or connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from godwitthread.core.token import TransactionId, decode_token
from godwitthread.errors import ErrorKind, Outcome, ProxyError
from godwitthread.instance.admission import AdmittedRequest
from godwitthread.instance.protocol import Request, Statement
from godwitthread.manifest.directory import Caller
from godwitthread.peers.codec import register

if TYPE_CHECKING:
    from godwitthread.instance.caller_service import CallerService
    from godwitthread.instance.protocol import Response
    from godwitthread.instance.state import InstanceState
    from godwitthread.peers.codec import Envelope
    from godwitthread.peers.link import PeerLink
    from godwitthread.types import Seat

#: Time reserved for returning the answer of a forwarded request, in ms.
RETURN_RESERVE_MS = 20


class ForwardRequest(NamedTuple):
    """Request of an authenticated caller to another instance; it contains no API key."""

    #: 'execute', 'begin', 'run', 'commit' or 'rollback'.
    operation: str
    request_id: str
    organisation: str
    key_id: str
    route: str
    statement: Statement | None
    session: str | None
    transaction: str | None
    #: Remaining time until the deadline of the caller, in ms.
    time_left_ms: int
    #: Whether the receiver applies the rate limit because the sender has no seat and no share.
    charge: bool = False


class ForwardAnswer(NamedTuple):
    """Answer to a forwarded request: the JSON object that the caller receives."""

    body: dict[str, Any]


register('forward_request', ForwardRequest)
register('forward_answer', ForwardAnswer)


class Forwarder:
    """Forward requests over the peer link and serve the requests of other instances."""

    def __init__(self, state: InstanceState, link: PeerLink) -> None:
        self._state = state
        self._link = link
        self._caller_service: CallerService | None = None

    def serve(self, caller_service: CallerService) -> None:
        """Serve the requests of other instances with a caller service."""
        self._caller_service = caller_service
        self._link.register_handler('forward_request', self._on_request)

    def holds_transaction(self, id_: TransactionId) -> bool:
        """Return whether this incarnation holds the connection of a transaction."""
        seat = self._state.seat
        return (id_.instance, id_.incarnation) == (seat.name, seat.incarnation)

    def has_seat(self) -> bool:
        """Return whether this incarnation has a seat, and with it shares and connections."""
        return self._state.placement.contains(self._state.seat)

    def is_remote(self, database: str) -> bool:
        """Return whether only other instances hold connections to a database."""
        return not self._state.serves(database)

    def execute(self, admitted: AdmittedRequest, req: Request, *, charge: bool) -> Response:
        """Run a statement on an instance of the serving set, in this failure domain if possible."""
        seat = self._serving_seat(admitted)
        return self._call(seat, 'execute', admitted.caller, req, charge)

    def begin(self, admitted: AdmittedRequest, req: Request) -> Response:
        """Begin a transaction on an instance of the serving set."""
        return self._call(self._serving_seat(admitted), 'begin', admitted.caller, req)

    def abort(self) -> None:
        """End the forwarded requests that await an answer; their outcome may be unknown."""
        self._link.abandon_calls('forward_request')

    def _serving_seat(self, admitted: AdmittedRequest) -> Seat:
        seats = self._state.placement.serving_set(admitted.route.database)
        own = self._state.seat.failure_domain
        near = [seat for seat in seats if seat.failure_domain == own]
        if not seats:
            text = 'no instance has a seat yet'
            raise ProxyError(ErrorKind.STALE_CONFIGURATION, text, retry_after_ms=500)
        return self._state.rng.choice(near or seats)

    def run(self, id_: TransactionId, caller: Caller, req: Request) -> Response:
        """Run a statement inside a transaction that another instance holds."""
        return self._call(self._transaction_seat(id_), 'run', caller, req)

    def end(self, id_: TransactionId, caller: Caller, req: Request, commit: bool) -> Response:
        """Commit or roll back a transaction that another instance holds."""
        operation = 'commit' if commit else 'rollback'
        try:
            return self._call(self._transaction_seat(id_), operation, caller, req)
        except ProxyError as exc:
            if commit and exc.outcome is Outcome.UNKNOWN:
                text = 'no answer to the commit'
                raise ProxyError(ErrorKind.COMMIT_UNKNOWN, text) from exc
            raise

    def _transaction_seat(self, id_: TransactionId) -> Seat:
        for seat in self._state.roster.seats:
            if (seat.name, seat.incarnation) == (id_.instance, id_.incarnation):
                return seat
        # An earlier commit may have reached that instance before it left the roster, but
        # this request has not run.
        text = 'the instance that held the transaction has left the roster'
        raise ProxyError(ErrorKind.TRANSACTION_LOST, text)

    def _call(
        self,
        seat: Seat,
        operation: str,
        caller: Caller | None,
        req: Request,
        charge: bool = False,
    ) -> Response:
        time_left_ms = req.deadline_ms - self._state.now_ms()
        if time_left_ms <= RETURN_RESERVE_MS:
            raise ProxyError(ErrorKind.DEADLINE_EXCEEDED, 'the deadline passed before forwarding')
        message = ForwardRequest(
            operation,
            req.request_id,
            caller.organisation if caller is not None else '',
            caller.key_id if caller is not None else '',
            req.route,
            req.statement,
            req.session,
            req.transaction,
            time_left_ms - RETURN_RESERVE_MS,
            charge,
        )
        answer = self._link.call(seat, message, time_left_ms)
        if not isinstance(answer, ForwardAnswer) or answer.body.get('request_id') != req.request_id:
            text = f'{seat.name} answered another request'
            raise ProxyError(ErrorKind.CONNECTION_LOST, text)
        return msgspec.convert(answer.body, dict[str, Any])  # type: ignore[return-value]

    def _on_request(self, envelope: Envelope) -> ForwardAnswer:
        message: ForwardRequest = envelope.body
        if self._caller_service is None:
            raise ProxyError(ErrorKind.SHUTTING_DOWN, 'the instance is not serving')
        req = Request(
            message.request_id,
            message.route,
            message.statement,
            message.session,
            message.transaction,
            self._state.now_ms() + message.time_left_ms,
        )
        caller = Caller(message.organisation, message.key_id) if message.key_id else None
        with self._state.running_request():
            return ForwardAnswer(dict(self._run(self._caller_service, message, caller, req)))

    def _run(
        self,
        caller_service: CallerService,
        message: ForwardRequest,
        caller: Caller | None,
        req: Request,
    ) -> Response:
        if message.operation in ('execute', 'begin'):
            directory = self._state.require_ready()
            route = directory.route_for(caller, message.route)
            account = caller.organisation if caller is not None else f'open:{route.name}'
            admitted = AdmittedRequest(caller, route, account, directory.version)
            if message.charge:
                caller_service.charge(admitted, req)
            if message.operation == 'begin':
                return caller_service.begin_admitted(admitted, req)
            keys = self._state.settings.token_key
            token = decode_token(req.session, admitted.organisation, keys) if req.session else None
            return caller_service.execute_admitted(admitted, req, token)
        id_ = caller_service.transaction_id(message.organisation, req)
        if message.operation == 'run':
            return caller_service.run_local(id_, req)
        return caller_service.end_local(id_, req, message.operation == 'commit')

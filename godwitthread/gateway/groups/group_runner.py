"""Execution of statements and transactions at the instance that owns a group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwitthread.core.scheduling import wait_limits
from godwitthread.core.statements import Action, Result, failure
from godwitthread.errors import ErrorKind
from godwitthread.gateway.groups.transaction_runner import TransactionRunner
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.core.statements import RunRequest
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports, PrimaryLease

#: Age at which evidence of the primary's position is renewed while reads depend on it, in ms. It
#: is well below the shortest accepted staleness of 1.5 s.
EVIDENCE_RENEWAL_MS = 400
#: Time that transactions on a member have to end once its failure domain is being evacuated, in
#: ms. Nothing may reach the member after 5 s.
EVACUATED_TX_MS = 3_500
#: Interval of housekeeping, in ms.
TICK_MS = 50


class GroupRunner(TransactionRunner):
    """Execute statements and transactions on the members of one group."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        ports: Ports,
        log: Log,
        admit: Callable[[str, int, int], int],
        lease: PrimaryLease,
    ) -> None:
        super().__init__(name, clock, ports, log, lease)
        #: Takes an organisation and the maximum waits for its rate and for its granter, in ms.
        #: Returns 0 if the operation is admitted, else the delay before a retry, in ms.
        self._admit = admit
        #: Number of the newest transaction of each session that waits for its admission.
        self._admitting: dict[tuple[str, int], int] = {}

    def run(self, sender: str, req: RunRequest) -> Result:
        """Execute a statement of a session and return its result."""
        now_ms = self._clock.now_ms()
        deadline_ms = now_ms + req.remaining_ms
        key = (sender, req.session)
        if req.action is Action.ROLLBACK:
            self._admitting.pop(key, None)
            self._beginning.pop(key, None)
            tx = self._transactions.get(key)
            if tx is not None:
                # A statement of it may still run or wait for its turn, and must not follow on a
                # connection that another session uses by then.
                clean = tx.conn not in self._busy
                self._end_transaction(key, tx, clean=clean)
            return Result(ended=True)
        if req.first:
            refusal = self._admit_first(key, req)
            if refusal is not None:
                return refusal
        if req.action is Action.SINGLE:
            if req.writes:
                return self._write(req, deadline_ms)
            return self._read(req, deadline_ms)
        return self._in_transaction(sender, req, deadline_ms)

    def end_sender(self, sender: str) -> None:
        """Roll back the transactions of a peer connection that has ended, and begin no more."""
        for key in [each for each in self._admitting if each[0] == sender]:
            del self._admitting[key]
        super().end_sender(sender)

    def close(self) -> None:
        """End all transactions, after their running statements, and keep no idle connections."""
        self.disable_pooling()
        self._admitting.clear()
        self._beginning.clear()
        while self._transactions:
            self.end_idle_transactions()
            eventlet.sleep(TICK_MS / 1000)

    def has_open_work(self) -> bool:
        """Return whether a statement is waiting or running, or a transaction is open."""
        running = any(state.running for state in self.dispatcher.members.values())
        return bool(self._transactions) or running or bool(len(self.dispatcher))

    def tick(self, owned: bool) -> None:
        """End transactions that must not continue, and renew evidence while reads depend on it."""
        now_ms = self._clock.now_ms()
        self.refresh_primary()
        for member_id, since_ms in self.evacuated.items():
            if now_ms - since_ms > EVACUATED_TX_MS:
                self.end_transactions(member_id)
        for key, tx in list(self._transactions.items()):
            if tx.conn not in self._busy and now_ms - tx.conn.used_ms > self._tx_idle_ms:
                self._log.failure('transaction_idle', session=key[1], member=tx.member)
                self._end_transaction(key, tx, clean=False)
        age_ms = self.evidence.age_ms(now_ms)
        reads = now_ms - self._last_bounded_read_ms < 2 * EVIDENCE_RENEWAL_MS
        if (
            owned
            and reads
            and not self.primary_work_paused
            and (age_ms is None or age_ms > EVIDENCE_RENEWAL_MS)
        ):
            self.renew_evidence()

    def _admit_first(self, key: tuple[str, int], req: RunRequest) -> Result | None:
        """Wait for the admission of an operation; return its refusal, None if it may start."""
        in_transaction = req.action is not Action.SINGLE
        number = next(self._numbers)
        if in_transaction:
            self._admitting[key] = number
        try:
            wait_ms = self._admit(
                req.organisation,
                wait_limits.short_wait_ms(req.objective_ms),
                wait_limits.max_wait_ms(req.remaining_ms) // 2,
            )
        finally:
            newest = self._admitting.get(key) == number
            if newest:
                del self._admitting[key]
        if wait_ms:
            text = 'rate limit of the organisation exceeded'
            return failure(ErrorKind.RATE_LIMITED, text, wait_ms, True)
        if in_transaction and not newest:
            # The session has given it up; it must neither begin now nor end a newer one.
            return failure(ErrorKind.TRANSACTION_LOST, 'the transaction ended', ended=True)
        return None

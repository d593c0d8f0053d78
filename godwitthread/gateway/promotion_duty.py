"""Promotion duty: one holder at a time orders promotions, under fencing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from godwitthread.core.store_version import counter_of, era_of
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.ports import ConditionFailedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.clock import Clock
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports, PromotionResult

#: Store table and row that name the holder of the duty.
DUTY_TABLE = 'duties'
PROMOTION_ROW = 'promotion'
#: Number of fencing tokens that a holder reserves with one write to the store. Each order uses
#: a new token, so the next order fences off one without an answer, even during a store outage.
TOKEN_BATCH = 1_000
#: Number of tokens in an era of the store: a billion batches.
ERA_TOKENS = 2**40
#: Upper bound of the tokens in the row; a larger one is not from an instance.
MAX_TOKEN = 2**53
#: Time limit of the first order, in ms. The platform answers after about 30 ms, before the member
#: is the primary. Writers wait meanwhile, so a lost answer must be detected soon.
ORDER_TIMEOUT_MS = 400
#: Attempts of an order while its outcome is unknown. The time limit doubles with each attempt,
#: in case the platform is slow.
MAX_ORDER_ATTEMPTS = 4
#: Consecutive refused orders after which an instance assumes that it lost the duty.
MAX_REFUSALS = 2


class Holder(NamedTuple):
    """Stored row that names the holder of a duty."""

    name: str
    #: Start time of the holder's process; a restarted process reserves new tokens.
    incarnation: int
    #: First token of the batch that the holder reserved.
    first_token: int


class OrderRequest(NamedTuple):
    """Request of a group's owner that the holder order a promotion."""

    group: str
    member: str


class OrderAnswer(NamedTuple):
    """Outcome of an order."""

    done: bool
    refused: bool
    #: Whether the outcome is certain, so that the order can take no effect later.
    final: bool = True


class _SeenRow(NamedTuple):
    """Row of the duty as it was read."""

    #: Holder that the row names, None if there is none or the row does not tell.
    holder: Holder | None
    #: Version of the row, 0 without one, and of the store.
    revision: int
    version: int


_holders = msgspec.json.Decoder(Holder)


class PromotionDuty:
    """Take the promotion duty, and order promotions while holding it."""

    def __init__(self, name: str, incarnation: int, ports: Ports, log: Log, clock: Clock) -> None:
        self._name = name
        self._incarnation = incarnation
        self._ports = ports
        self._log = log
        self._clock = clock
        #: Time at which this instance learnt that it lost the duty, in ms.
        self._lost_ms: int | None = None
        self._next_token: int | None = None
        #: Consecutive refusals; the tokens of a newer holder fence off every order of a former one.
        self._refusals = 0
        self._last_token = 0
        #: Version of the malformed row that was reported last.
        self._reported_revision = 0

    @property
    def held(self) -> bool:
        """Return whether this process holds the duty, to its own knowledge."""
        return self._next_token is not None

    @property
    def token(self) -> int:
        """Return the next token, 0 if this process does not hold the duty."""
        return self._next_token or 0

    def is_of_era(self, era: int) -> bool:
        """Return whether the tokens were reserved in an era of the store or a later one."""
        return self.token >= era * ERA_TOKENS

    def holder(self) -> Holder | None:
        """Return the holder that the store names; raise ProxyError."""
        return self._read().holder

    def take(self) -> None:
        """Become the holder; raise ProxyError if the store fails or another instance is first."""
        lost_ms = self._lost_ms
        if lost_ms is not None and self._clock.now_ms() - lost_ms < self._ports.lease_ms:
            # Orders of this instance, its successor and this instance again within the lease would
            # violate the contract of the platform.
            raise ProxyError(ErrorKind.MOVED, 'this instance lost the promotion duty a moment ago')
        seen = self._read()
        if seen.holder is not None:
            first = seen.holder.first_token + TOKEN_BATCH
        else:
            first = hidden_token(seen.version, counter_of(seen.revision))
        mine = Holder(self._name, self._incarnation, first)
        content = msgspec.json.encode(mine)
        try:
            written = self._ports.store().put(DUTY_TABLE, PROMOTION_ROW, content, seen.revision)
        except ConditionFailedError as exc:
            raise ProxyError(ErrorKind.MOVED, 'another instance took the promotion duty') from exc
        except ProxyError as exc:
            if exc.kind is not ErrorKind.STORE_UNKNOWN:
                raise
            again = self._read()
            if again.holder != mine:
                raise
            written = again.version
        if era_of(written) != era_of(seen.version):
            # A holder whose row was lost with the restore may use the same tokens.
            raise ProxyError(ErrorKind.MOVED, 'the store was restored meanwhile')
        self._next_token, self._last_token = first, first + TOKEN_BATCH - 1
        self._log.event('duty_taken', token=first)

    def order(self, group: str, member: str) -> OrderAnswer:
        """Order a promotion as the holder; raise ProxyError if this is not the holder."""
        result: PromotionResult | None = None
        for attempt in range(MAX_ORDER_ATTEMPTS):
            token = self._token()
            timeout_ms = ORDER_TIMEOUT_MS << attempt
            result = self._ports.promote(group, member, self._name, token, timeout_ms)
            self._log.event(
                'promotion_ordered',
                group=group,
                member=member,
                token=token,
                done=result.done,
                final=result.final,
                refused=result.refused,
            )
            if result.final:
                break
        assert result is not None
        self._refusals = self._refusals + 1 if result.refused else 0
        if self._refusals >= MAX_REFUSALS:
            # A promotion is also refused when the member is not running, but not repeatedly.
            self.lose()
        return OrderAnswer(result.done, result.refused, result.final)

    def yield_to(self, newest_token: int) -> None:
        """Give the duty up if a reachable instance reports a newer token.

        A former holder that lacks the store may not know of its successor, and a platform that
        does not check tokens would carry out the orders of both.
        """
        if self.held and newest_token > self.token:
            self._log.event('duty_lost', token=self.token, newest=newest_token)
            self.lose()

    def lose(self) -> None:
        """Record that another instance holds the duty."""
        self._lost_ms = self._clock.now_ms()
        self._next_token = None
        self._refusals = 0

    def _token(self) -> int:
        if self._next_token is None:
            raise ProxyError(ErrorKind.MOVED, 'this instance does not hold the promotion duty')
        if self._next_token > self._last_token:
            self.take()
        token = self._next_token
        self._next_token += 1
        return token

    def _read(self) -> _SeenRow:
        content = self._ports.store().table(DUTY_TABLE)
        for row in content.rows:
            if row.key == PROMOTION_ROW and row.value is not None:
                holder = self._decode(row.value, row.revision)
                if holder and holder.first_token < lowest_token(content.revision):
                    # A row from before a restore. The one that named the last holder may be lost.
                    holder = None
                return _SeenRow(holder, row.revision, content.revision)
        return _SeenRow(None, 0, content.revision)

    def _decode(self, value: bytes, revision: int) -> Holder | None:
        """Return the holder, None if the row is malformed, so that the duty counts as vacant."""
        try:
            holder = _holders.decode(value)
            if not 0 < holder.first_token <= MAX_TOKEN:
                raise ValueError(f'invalid token {holder.first_token}')
        except (ValueError, RecursionError) as exc:
            if revision != self._reported_revision:
                self._reported_revision = revision
                self._log.event(
                    'row_undecodable',
                    table=DUTY_TABLE,
                    row=PROMOTION_ROW,
                    revision=counter_of(revision),
                    reason=str(exc),
                )
            return None
        return holder


def lowest_token(version: int) -> int:
    """Return the first token of an era, above all tokens that were used before.

    The rows that reserved them may be lost, and their holders out of reach.
    """
    return era_of(version) * ERA_TOKENS


def hidden_token(version: int, writes: int) -> int:
    """Return a token above all that were reserved in an era by a number of writes.

    Each batch took a write of its own, and the store's counter rises with each write.
    """
    return lowest_token(version) + max(1, writes) * TOKEN_BATCH


def order_through_holder(
    duty: PromotionDuty,
    own_name: str,
    request: OrderRequest,
    ask: Callable[[str, OrderRequest], OrderAnswer],
    known_holder: Callable[[], str | None],
    is_up: Callable[[str, int], bool],
) -> OrderAnswer:
    """Order a promotion through the holder, or take the duty if the holder is unreachable.

    The store is read only if no peer reports that it holds the duty. Raise ProxyError if
    no order could be sent.
    """
    if duty.held:
        return duty.order(request.group, request.member)
    name = known_holder()
    if name is not None:
        return ask(name, request)
    holder = duty.holder()
    if holder is not None and holder.name != own_name and is_up(holder.name, holder.incarnation):
        return ask(holder.name, request)
    duty.take()
    return duty.order(request.group, request.member)

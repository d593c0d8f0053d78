"""Promotion duty."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from godwitthread.clock import Clock
from godwitthread.core.store_version import combine, counter_of, era_of
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway.ports import (
    ConditionFailedError,
    Ports,
    PromotionResult,
    StoredRow,
    StoredRows,
)
from godwitthread.gateway.promotion_duty import (
    TOKEN_BATCH,
    Holder,
    OrderAnswer,
    OrderRequest,
    PromotionDuty,
    order_through_holder,
)
from tests.test_gateway.fakes import quiet_log

DONE = PromotionResult(done=True, final=True)
UNKNOWN = PromotionResult(done=False, final=False)


class OneRowStore:
    """Store with one row and scriptable failures of writes."""

    def __init__(self) -> None:
        self.row: StoredRow | None = None
        self.revision = 5
        self.fail: ErrorKind | None = None
        self.takes_effect = True

    def table(self, table):
        return StoredRows((self.row,) if self.row else (), self.revision)

    def put(self, table, key, value, expected_revision=None):
        if (self.row.revision if self.row else 0) != expected_revision:
            raise ConditionFailedError
        if self.fail is None or self.takes_effect:
            self.revision += 1
            self.row = StoredRow(key, value, self.revision)
        if self.fail is not None:
            raise ProxyError(self.fail, 'scripted')
        return self.revision


def duty(store: OneRowStore, name: str, incarnation: int = 1, results=None, **settings):
    """Build the promotion duty of an instance, and the list of the orders it sends."""
    orders: list[tuple[str, int]] = []
    script = list(results or [])

    def promote(group, member, holder, token, timeout_ms):
        orders.append((holder, token))
        return script.pop(0) if script else DONE

    clock = Clock(settings.pop('seconds', None))
    ports = Ports(lambda *args: None, lambda: store, None, promote, **settings)
    return PromotionDuty(name, incarnation, ports, quiet_log(clock), clock), orders


def test_no_token_is_used_by_two_holders_or_after_a_restart():
    """Guard against an order of a former holder that the platform takes for a current one."""
    store = OneRowStore()
    seen: list[int] = []
    for name, incarnation in [('a', 1), ('b', 1), ('a', 2), ('a', 3)]:
        made, orders = duty(store, name, incarnation)
        made.take()
        for _ in range(3):
            made.order('g', 'm')
        seen += [token for _, token in orders]
    assert len(set(seen)) == len(seen)
    assert seen == sorted(seen)


def test_an_order_without_an_answer_is_fenced_off_by_the_next():
    """Guard against an order that takes effect late and demotes the new primary."""
    made, orders = duty(OneRowStore(), 'a', results=[UNKNOWN, UNKNOWN, DONE])
    made.take()
    assert made.order('g', 'm') == OrderAnswer(done=True, refused=False)
    assert [token for _, token in orders] == [TOKEN_BATCH, TOKEN_BATCH + 1, TOKEN_BATCH + 2]


def test_tokens_are_reserved_before_a_store_outage():
    """Guard against a primary that can't be replaced during a store outage."""
    store = OneRowStore()
    made, _ = duty(store, 'a')
    made.take()
    store.fail, store.takes_effect = ErrorKind.STORE_UNAVAILABLE, False
    assert made.order('g', 'm').done


def test_no_order_is_sent_without_the_duty():
    """Guard against an order with a token that was not reserved."""
    made, orders = duty(OneRowStore(), 'a')
    with pytest.raises(ProxyError):
        made.order('g', 'm')
    assert orders == []


def test_two_instances_do_not_take_the_duty_at_the_same_time():
    """Guard against two holders with the same tokens after concurrent writes."""
    store = OneRowStore()
    first, _ = duty(store, 'a')
    second, _ = duty(store, 'b')
    read = store.table('duties')
    first.take()
    store.table = lambda table: read
    with pytest.raises(ProxyError):
        second.take()
    assert not second.held


@pytest.mark.parametrize('takes_effect', [True, False])
def test_a_write_without_an_answer_counts_only_when_it_is_seen(takes_effect):
    """Guard against an instance that misjudges whether it took the duty."""
    store = OneRowStore()
    store.fail, store.takes_effect = ErrorKind.STORE_UNKNOWN, takes_effect
    made, _ = duty(store, 'a')
    if takes_effect:
        made.take()
    else:
        with pytest.raises(ProxyError):
            made.take()
    assert made.held is takes_effect


def test_an_order_goes_through_the_holder_while_it_can_be_reached():
    """Guard against needless changes of the holder."""
    store = OneRowStore()
    store.row = StoredRow('promotion', msgspec.json.encode(Holder('b', 7, 3000)), 4)
    made, orders = duty(store, 'a')
    asked = []

    def ask(name, request):
        asked.append(name)
        return OrderAnswer(True, False)

    assert order_through_holder(
        made, 'a', OrderRequest('g', 'm'), ask, no_holder, lambda name, run: True
    ).done
    assert (asked, orders) == (['b'], [])
    assert order_through_holder(
        made, 'a', OrderRequest('g', 'm'), ask, no_holder, lambda name, run: False
    ).done
    assert [token for _, token in orders] == [3000 + TOKEN_BATCH]


def test_the_holder_is_found_during_a_store_outage():
    """Guard against a primary that can't be replaced because only the store names the holder."""
    store = OneRowStore()

    def unavailable(table):
        raise ProxyError(ErrorKind.STORE_UNAVAILABLE, 'store outage')

    store.table = unavailable
    made, _ = duty(store, 'a')
    answer = order_through_holder(
        made,
        'a',
        OrderRequest('g', 'm'),
        lambda name, request: OrderAnswer(name == 'b', False),
        lambda: 'b',
        lambda name, run: False,
    )
    assert answer.done


def test_a_former_holder_gives_up_after_refusals():
    """Guard against a former holder whose orders are fenced off permanently."""
    refused = PromotionResult(done=False, final=True, refused=True)
    made, _ = duty(OneRowStore(), 'a', results=[refused, refused])
    made.take()
    for _ in range(2):
        assert made.order('g', 'm').refused
    assert not made.held


def no_holder() -> None:
    """Return no holder, as if no peer reported the duty."""


def test_a_former_holder_stops_once_it_hears_of_a_newer_token():
    """Guard against orders of two holders at a platform that does not check their tokens."""
    store = OneRowStore()
    former, sent = duty(store, 'a')
    former.take()
    successor, _ = duty(store, 'b')
    successor.take()
    former.yield_to(successor.token)
    assert not former.held
    with pytest.raises(ProxyError):
        former.order('orders', 'm1')
    assert sent == []


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff',
        b'{}',
        b'["a",1]',
        b'["a",1,1e999]',
        b'["a",1,-5]',
        b'["a",1,' + b'9' * 40 + b']',
    ],
)
def test_the_duty_can_be_taken_although_its_row_is_malformed(value):
    """Guard against primaries that can't be replaced while the row of the duty is malformed."""
    store = OneRowStore()
    former, former_orders = duty(store, 'a')
    former.take()
    for _ in range(TOKEN_BATCH):
        former.order('g', 'm')
    store.revision += 1
    store.row = StoredRow('promotion', value, store.revision)
    made, orders = duty(store, 'b')
    assert made.holder() is None
    made.take()
    made.order('g', 'm')
    assert orders[-1][1] > max(token for _, token in former_orders)
    next_holder, next_orders = duty(store, 'c')
    next_holder.take()
    next_holder.order('g', 'm')
    assert next_orders[-1][1] >= orders[-1][1] + TOKEN_BATCH


def test_tokens_rise_through_changes_of_the_holder_and_malformed_rows():
    """Guard against a token below an earlier one after the row of the duty was malformed."""
    random, store, newest = Random(5), OneRowStore(), 0
    for number in range(200):
        if random.random() < 0.3:
            store.revision += 1
            store.row = StoredRow('promotion', b'{', store.revision)
        made, orders = duty(store, f'i{number}')
        made.take()
        for _ in range(random.choice([1, TOKEN_BATCH])):
            made.order('g', 'm')
        assert orders[0][1] > newest
        newest = orders[-1][1]


@pytest.mark.parametrize('lease_ms', [3_000, 0])
def test_a_lost_duty_is_not_taken_back_within_the_lease(lease_ms):
    """Guard against holders in the order A, B, A within the lease of the platform."""
    store, now_s = OneRowStore(), [100.0]
    former, _ = duty(store, 'a', lease_ms=lease_ms, seconds=lambda: now_s[0])
    former.take()
    successor, _ = duty(store, 'b')
    successor.take()
    former.yield_to(successor.token)
    now_s[0] += 2.9
    if lease_ms:
        with pytest.raises(ProxyError):
            former.take()
        assert not former.held
        now_s[0] += 0.1
    former.take()
    assert former.token > successor.token


def restore(store: OneRowStore, row: StoredRow | None) -> None:
    """Let a store come back from a copy with an earlier row."""
    counter = counter_of(row.revision) if row else 1
    store.revision = combine(era_of(store.revision) + 1, counter)
    store.row = row and row._replace(revision=store.revision)


@pytest.mark.parametrize('copied', ['row of another holder', 'malformed row', 'no row'])
@pytest.mark.parametrize('restores', [1, 2])
def test_no_token_is_given_out_again_after_a_restore(copied, restores):
    """Guard against two holders with one token, the first of which the store does not name."""
    store, used = OneRowStore(), []
    former, _ = duty(store, 'a')
    former.take()
    row = {'row of another holder': store.row, 'malformed row': StoredRow('promotion', b'{', 6)}
    last, orders = duty(store, 'b')
    last.take()
    for _ in range(TOKEN_BATCH + 1):
        last.order('g', 'm')
    used = [token for _, token in orders]
    for number in range(restores):
        restore(store, row.get(copied))
        made, orders = duty(store, f'c{number}')
        # Nobody asks a holder of an earlier time, which may not hold the duty any more.
        assert made.holder() is None
        made.take()
        assert made.holder() is not None
        made.order('g', 'm')
        assert orders[0][1] > max(used)
        used += [token for _, token in orders]


@pytest.mark.parametrize('fail', [None, ErrorKind.STORE_UNKNOWN])
@pytest.mark.parametrize('has_row', [False, True])
def test_a_write_that_takes_effect_after_a_restore_takes_no_duty(fail, has_row):
    """Guard against tokens that another holder may have reserved before the restore."""
    store = OneRowStore()
    if has_row:
        duty(store, 'a')[0].take()
    seen = store.table('duties')
    restore(store, store.row)
    made, _ = duty(store, 'b')
    store.fail, current = fail, store.table
    reads = [seen]
    store.table = lambda table: reads.pop() if reads else current(table)
    if has_row:
        store.row = store.row._replace(revision=seen.rows[0].revision)
    with pytest.raises(ProxyError):
        made.take()
    assert not made.held

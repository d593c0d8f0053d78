"""Registration of an instance in the store, and of the holder of the promotion duty."""

from __future__ import annotations

import logging
import random
from typing import TYPE_CHECKING

from godwitthread.errors import ProxyError
from godwitthread.gateway import promotion_duty
from godwitthread.gateway.isolation import run_all
from godwitthread.gateway.store_rows import PEER_TABLE, encode_peer
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwitthread.core.catalog import Peer
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.ports import Ports
    from godwitthread.gateway.promotion_duty import Holder, PromotionDuty
    from godwitthread.gateway.store_health import StoreHealth
    from godwitthread.gateway.store_view import StoreView

logger = logging.getLogger(__name__)

#: Interval at which an instance checks that the store holds its entry, in ms. The others learn its
#: address from the entry.
REGISTER_MS = 2_000
#: Time limit for marking the entry when the process ends, in ms. It leaves time for the exit within
#: the grace period, see `shutdown.EXIT_MARGIN_MS`.
MARK_TIMEOUT_MS = 300


class Registration:
    """Keep the entry of an instance in the store, and the promotion duty taken."""

    def __init__(
        self,
        peer: Peer,
        view: StoreView,
        ports: Ports,
        log: Log,
        duty: PromotionDuty,
        is_preferred_holder: Callable[[], bool],
        may_be_running: Callable[[Holder | None], bool],
    ) -> None:
        self._peer = peer
        self._view = view
        self._ports = ports
        self._log = log
        self._duty = duty
        #: Returns whether this instance comes first as the holder of the duty.
        self._is_preferred_holder = is_preferred_holder
        #: Returns whether a holder of the duty may be running: the one that the store names, or one
        #: that it doesn't name.
        self._may_be_running = may_be_running

    def run(self, health: StoreHealth, is_leaving: Callable[[], bool]) -> None:
        """Check the entry and the duty until the instance is leaving."""
        while not is_leaving():
            try:
                run_all((self._write_entry, self._take_vacant_duty))
            except Exception:
                # Without this thread, the other instances would not learn a new address.
                logger.exception('registration of %s failed', self._peer.name)
            wait_ms = random.uniform(0.8, 1.2) * REGISTER_MS
            health.wait(wait_ms, health.recoveries)

    def _write_entry(self) -> None:
        content = encode_peer(self._peer)
        if self._view.row_value(PEER_TABLE, self._peer.name) == content:
            return
        try:
            self._ports.store().put(PEER_TABLE, self._peer.name, content)
            self._log.event('instance_registered', incarnation=self._peer.incarnation)
        except ProxyError as exc:
            self._log.failure('store_unavailable', table=PEER_TABLE, reason=exc.message)

    def _take_vacant_duty(self) -> None:
        """Take the promotion duty in advance, so that tokens are reserved before a store outage."""
        if self._duty.held:
            self._renew_duty()
            return
        if not self._is_preferred_holder():
            return
        try:
            if not self._may_be_running(self._duty.holder()):
                self._duty.take()
        except ProxyError as exc:
            self._log.failure(
                'store_unavailable', table=promotion_duty.DUTY_TABLE, reason=exc.message
            )

    def _renew_duty(self) -> None:
        """Reserve tokens again as the holder, since a restored store may not name it."""
        if self._duty.is_of_era(self._view.store_era):
            return
        try:
            self._duty.take()
        except ProxyError as exc:
            self._log.failure(
                'store_unavailable', table=promotion_duty.DUTY_TABLE, reason=exc.message
            )


def mark_departed(peer: Peer, view: StoreView, ports: Ports, log: Log) -> None:
    """Mark the entry of an instance whose process ends."""
    if view.row_value(PEER_TABLE, peer.name) != encode_peer(peer):
        # The instance is not registered, or its next process was started already.
        return
    revision = view.row_revision(PEER_TABLE, peer.name)
    content = encode_peer(peer._replace(departed=True))
    try:
        with eventlet.Timeout(MARK_TIMEOUT_MS / 1000, False):
            # The condition keeps a late write from replacing the entry of the next process.
            ports.store().put(PEER_TABLE, peer.name, content, revision)
    except Exception as exc:
        # Peers that are connected learn of the end all the same.
        log.failure('store_unavailable', table=PEER_TABLE, reason=str(exc))

"""Promotion orders of an instance, and those of its peers, on their way to the duty holder."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from godwitthread.core import ownership
from godwitthread.gateway import links, promotion_duty
from godwitthread.gateway.promotion_duty import OrderAnswer

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwitthread.gateway.links import Link
    from godwitthread.gateway.promotion_duty import Holder, OrderRequest, PromotionDuty
    from godwitthread.gateway.store_view import StoreView

#: Time limit of an order that another instance carries out, in ms: the sum over all attempts.
ORDER_TIMEOUT_MS = promotion_duty.ORDER_TIMEOUT_MS * (2**promotion_duty.MAX_ORDER_ATTEMPTS - 1)

_answers = msgspec.msgpack.Decoder(OrderAnswer)


class DutyRouter:
    """Route promotion orders to the instance that holds the promotion duty."""

    def __init__(
        self, name: str, duty: PromotionDuty, view: StoreView, peer_links: Mapping[str, Link]
    ) -> None:
        self._name = name
        self._duty = duty
        self._view = view
        self._links = peer_links

    def order(self, request: OrderRequest) -> OrderAnswer:
        """Have the holder of the duty carry out an order of this instance."""
        self._duty.yield_to(self._newest_token())
        return promotion_duty.order_through_holder(
            self._duty, self._name, request, self._ask, self.known_holder, self._is_up
        )

    def answer(self, request: OrderRequest) -> OrderAnswer:
        """Carry out an order of a peer."""
        self._duty.yield_to(self._newest_token())
        return self._duty.order(request.group, request.member)

    def known_holder(self) -> str | None:
        """Return the reachable peer that holds the duty, None if there is none."""
        return ownership.duty_holder({name: link.reach() for name, link in self._links.items()})

    def may_be_running(self, holder: Holder | None) -> bool:
        """Return whether a holder may be running: the one that the store names, or another one."""
        if holder is None:
            return self.known_holder() is not None
        peer, link = self._view.peers.get(holder.name), self._links.get(holder.name)
        if peer is None or peer.incarnation != holder.incarnation:
            return False
        return link is None or link.up

    def _ask(self, name: str, order: OrderRequest) -> OrderAnswer:
        body = self._links[name].call('order', order, ORDER_TIMEOUT_MS)
        answer: OrderAnswer = links.decode_answer(_answers, body)
        return answer

    def _is_up(self, name: str, incarnation: int) -> bool:
        peer, link = self._view.peers.get(name), self._links.get(name)
        return bool(peer and peer.incarnation == incarnation and link and link.up)

    def _newest_token(self) -> int:
        reach = (link.reach() for link in self._links.values())
        return max((each.duty_token for each in reach if each.up), default=0)

"""Gateway instance: store state, ownership and routing of statements to owners."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from godwitthread.core.ownership import PeerReachability
from godwitthread.core.scheduling import wait_limits
from godwitthread.core.shutdown import Phase
from godwitthread.core.statements import (
    Action,
    Result,
    RunRequest,
    failure,
    is_repeatable,
    unknown_outcome,
)
from godwitthread.errors import ErrorKind, ProxyError
from godwitthread.gateway import link_server, links
from godwitthread.gateway.authority_manager import AuthorityManager, ClaimRequest
from godwitthread.gateway.crossings import Crossings
from godwitthread.gateway.duty_router import DutyRouter
from godwitthread.gateway.frames import FrameStream, HeartbeatStatus, Hello
from godwitthread.gateway.grant_router import GrantRouter
from godwitthread.gateway.group_homes import GroupHomes, HomesRequest
from godwitthread.gateway.groups.failover import Failover
from godwitthread.gateway.groups.group_runner import TICK_MS, GroupRunner
from godwitthread.gateway.isolation import run_all, traceback_logger
from godwitthread.gateway.links import Link
from godwitthread.gateway.ownership_manager import ManagedGroup, OwnershipManager
from godwitthread.gateway.peer_calls import PeerCalls
from godwitthread.gateway.peer_eviction import PeerEviction
from godwitthread.gateway.peer_sync import ViewRequest
from godwitthread.gateway.promotion_duty import OrderRequest, PromotionDuty
from godwitthread.gateway.rate_limiter import GrantRequest, RateLimiter
from godwitthread.gateway.reach_probe import ReachProbe, ReachRequest
from godwitthread.gateway.registration import Registration, mark_departed
from godwitthread.gateway.sessions import ANONYMOUS, Sessions
from godwitthread.gateway.store_sync import ReaderRole, StoreSync
from godwitthread.gateway.store_view import PEER_TABLE, StoreView
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Configuration, Group, Organisation, Peer
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.metrics import Metrics
    from godwitthread.gateway.ports import Ports

#: Delay before a statement is sent to the owner of its group again, in ms.
ROUTE_RETRY_MS = 30
#: Time beyond a statement's time limit that its answer from another instance may take, in ms.
CALL_SLACK_MS = 150
#: Time after the list of instances is known until an instance may own resources without having
#: reached all candidates, in ms. Without it, each of several instances that start at the same time
#: would own everything.
OWNERSHIP_START_DELAY_MS = 400
#: Time without a majority after which idle sessions are ended, in ms, so that their callers connect
#: to other instances.
MINORITY_GRACE_MS = 400
#: Errors of a call that had no effect.
NOTHING_SENT = (ErrorKind.BACKEND_UNAVAILABLE, ErrorKind.MOVED)

_results = msgspec.msgpack.Decoder(Result)


class Node:
    """Serve sessions and own groups as one instance of a deployment."""

    def __init__(
        self,
        peer: Peer,
        clock: Clock,
        ports: Ports,
        log: Log,
        metrics: Metrics,
        crossing_cost_ms: float | None = None,
    ) -> None:
        self.peer = peer
        self.clock = clock
        self.log = log
        self.metrics = metrics
        #: Whether the instance is shutting down.
        self.leaving = False
        #: Streams of the peers that have a link to this instance.
        self.inbound: set[FrameStream] = set()
        #: Number of statements of peers that run at this instance.
        self.peer_statements = 0
        self._ports = ports
        self._started_ms = clock.now_ms()
        self._ready_to_own = False
        self._peers_known_ms = 0
        self._minority_since_ms = 0
        self.view = StoreView(ports.schema, clock, log, self._on_store_change)
        self.store_sync = StoreSync(
            peer.name,
            self.view,
            ports.store,
            clock,
            log,
            self._nearby_and_all_links,
            ReaderRole(self._reads_store, lambda: self.ownership_manager.rank('store')),
        )
        self.sessions = Sessions(
            clock, lambda: self.view.configuration, self.run, log, metrics.observe
        )
        self.rate_limiter = RateLimiter(
            clock, self._organisation, lambda *args: self.grant_router.ask(*args), log
        )
        self.duty = PromotionDuty(peer.name, peer.incarnation, ports, log)
        self.runners: dict[str, GroupRunner] = {}
        self._links: dict[str, Link] = {}
        self.duty_router = DutyRouter(peer.name, self.duty, self.view, self._links)
        self.ownership_manager = OwnershipManager(
            peer.name, clock, self._reach, self.rate_limiter, log
        )
        self.homes = GroupHomes(
            peer.name, clock, self.ownership_manager, self._links, crossing_cost_ms is not None
        )
        self.reach_probe = ReachProbe(clock, self.ownership_manager, self._links)
        self.grant_router = GrantRouter(
            peer.name, self.ownership_manager, self.reach_probe, self.rate_limiter, self._links
        )
        self.authority = AuthorityManager(
            peer.name,
            self._sender(),
            clock,
            self._links,
            self.inbound,
            lambda: self.view.peers,
            self._on_lease_granted,
            log,
        )
        self.crossings = Crossings(
            peer.failure_domain, crossing_cost_ms, clock, lambda: self.view.peers, log, metrics
        )
        self.authority.on_answer = self.crossings.record_round_trip
        self.calls = self._call_handlers()
        self._threads: list[Any] = []
        self._organisations: dict[str, Organisation] = {}
        self._eviction = PeerEviction(clock, ports, log, self.view.row_revision)
        self._ownerless_since_ms: dict[str, int] = {}
        self._hello = Hello(peer.name, peer.incarnation)

    # Life cycle

    def start(self) -> None:
        """Register this instance, watch the store and start to own groups."""
        self._threads = self.store_sync.start()
        self._threads += [self._spawn_registration(), eventlet.spawn(self._tick_forever)]

    def _spawn_registration(self) -> Any:
        registration = Registration(
            self.peer,
            self.view,
            self._ports,
            self.log,
            self.duty,
            lambda: self.ownership_manager.owner('duty') == self.peer.name,
            self.duty_router.may_be_running,
        )
        return eventlet.spawn(registration.run, self.store_sync.health, lambda: self.leaving)

    def stop(self) -> None:
        """End all threads and links at once, as the end of the process does."""
        for thread in self._threads:
            thread.kill()
        for link in self._links.values():
            link.retire()
            link.stop()

    def leave(self) -> None:
        """Stop owning groups and accepting sessions."""
        self.leaving = True
        link_server.broadcast_heartbeat(self.inbound, self.heartbeat_status())
        self.ownership_manager.reconcile()

    def depart(self) -> None:
        """Make it known that this process ends, as its last act."""
        self.authority.stop_voting()
        mark_departed(self.peer, self.view, self._ports, self.log)
        # A peer that connects before the announcement would take the process for a running one, so
        # that it is sent at the very end.
        link_server.broadcast_departure(self.inbound)
        eventlet.sleep(0)

    def ready(self) -> bool:
        """Return whether this instance can serve callers."""
        return (
            not self.leaving
            and self.view.configuration is not None
            and self._ready_to_own
            and self.ownership_manager.has_majority()
        )

    def heartbeat_status(self) -> HeartbeatStatus:
        """Return the status that peers receive with each heartbeat."""
        return HeartbeatStatus(self.leaving, self._ready_to_own, self.duty.token)

    def owned_groups(self) -> int:
        """Return the number of groups that this instance owns."""
        return len(self.ownership_manager.owned)

    def connections(self) -> int:
        """Return the number of open connections to members."""
        return sum(pool.total for each in self.runners.values() for pool in each.pools.values())

    # Statements

    def run(self, req: RunRequest, holder: str | None) -> tuple[Result, str | None]:
        """Run a statement at the owner of its group, or at the instance with its transaction."""
        if holder is not None:
            return self._run_at_transaction_owner(req, holder), holder
        started_ms, moved = self.clock.now_ms(), 0
        while True:
            now_ms = self.clock.now_ms()
            left = req._replace(
                remaining_ms=req.remaining_ms - (now_ms - started_ms),
                objective_ms=max(0, req.objective_ms - (now_ms - started_ms)),
            )
            owner = self.homes.owner(req.group, moved)
            ownerless_ms = self._ownerless_ms(req.group, owner, now_ms)
            wait_ms = wait_limits.owner_wait_ms(req.remaining_ms, req.objective_ms, ownerless_ms)
            try:
                if owner is None:
                    raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'no instance owns the group')
                return self._run_at(owner, left), owner
            except ProxyError as exc:
                not_run = exc.kind in NOTHING_SENT
                if not not_run and not is_repeatable(req):
                    return unknown_outcome(req, exc.message), owner
                over = self.clock.now_ms() + ROUTE_RETRY_MS >= started_ms + wait_ms
                if over or self.sessions.phase is Phase.STOPPING:
                    if not not_run:
                        return failure(ErrorKind.CONNECTION_LOST, exc.message), owner
                    kind = ErrorKind.BACKEND_UNAVAILABLE
                    return failure(kind, exc.message, ROUTE_RETRY_MS, True), owner
                moved += exc.kind is ErrorKind.MOVED
                if exc.kind is ErrorKind.MOVED and self.homes.has_alternative(req.group, moved):
                    continue
            eventlet.sleep(ROUTE_RETRY_MS / 1000)

    def _ownerless_ms(self, group: str, owner: str | None, now_ms: int) -> int:
        """Return for how long this instance has known no owner of a group, in ms."""
        if owner is not None:
            self._ownerless_since_ms.pop(group, None)
            return 0
        since_ms = now_ms if self._ready_to_own else self._started_ms
        return now_ms - self._ownerless_since_ms.setdefault(group, since_ms)

    def _run_at(self, owner: str, req: RunRequest) -> Result:
        if owner == self.peer.name:
            return self._run_here(self._sender(), req)
        return self._ask_result(self._links[owner], req)

    def _ask_result(self, link: Link, req: RunRequest) -> Result:
        body = link.call('run', req, req.remaining_ms + CALL_SLACK_MS)
        self.crossings.record_call(link.peer.failure_domain, req, len(memoryview(body)))
        result: Result = links.decode_answer(_results, body)
        return result

    def _run_at_transaction_owner(self, req: RunRequest, holder: str) -> Result:
        try:
            if holder == self.peer.name:
                runner = self.runners.get(req.group)
                if runner is None:
                    raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'the group was removed')
                return runner.run(self._sender(), req)
            link = self._links.get(holder)
            if link is None:
                raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, f'instance {holder} is unavailable')
            if req.action is Action.ROLLBACK:
                link.send_oneway('run', req)
                return Result(ended=True)
            return self._ask_result(link, req)
        except ProxyError as exc:
            if exc.kind in NOTHING_SENT:
                return failure(ErrorKind.TRANSACTION_LOST, exc.message, ended=True)
            return unknown_outcome(req, exc.message)

    def _run_here(self, sender: str, req: RunRequest) -> Result:
        runner = self.runners.get(req.group)
        if runner is None:
            raise ProxyError(ErrorKind.BACKEND_UNAVAILABLE, 'the group is unknown to this instance')
        if req.first and not self.homes.owns(req.group):
            raise ProxyError(ErrorKind.MOVED, 'another instance owns the group')
        self.ownership_manager.track_work(req.group)
        return runner.run(sender, req)

    # Calls of peers

    def handle(self, sender: str, kind: str, body: msgspec.Raw) -> Any:
        """Answer a call of a peer; raise ProxyError."""
        return self.calls.answer(sender, kind, body)

    def _call_handlers(self) -> PeerCalls:
        calls = PeerCalls()
        calls.add('run', RunRequest, self._run_for_peer)
        calls.add('grant', GrantRequest, lambda _, req: self.grant_router.answer(req))
        calls.add('homes', HomesRequest, lambda *_: self.homes.answer())
        calls.add('reach', ReachRequest, lambda _, req: self.reach_probe.answer(req))
        calls.add('order', OrderRequest, lambda _, req: self.duty_router.answer(req))
        calls.add('claim', ClaimRequest, self.authority.answer_peer)
        calls.add('view', ViewRequest, lambda _, req: self.store_sync.peers.answer(req))
        return calls

    def _run_for_peer(self, sender: str, req: RunRequest) -> Result:
        self.peer_statements += 1
        try:
            return self._run_here(sender, req)
        finally:
            self.peer_statements -= 1

    def peer_ended(self, sender: str) -> None:
        """Roll back the open transactions of a peer whose connection ended."""
        for runner in self.runners.values():
            runner.end_sender(sender)

    # Ownership

    def _reach(self) -> dict[str, PeerReachability]:
        reach = {name: link.reach() for name, link in self._links.items()}
        reach[self.peer.name] = PeerReachability(
            True, leaving=self.leaving, ready=self._ready_to_own
        )
        return reach

    def _on_store_change(self, table: str) -> None:
        """Apply the content of a table; raise an ExceptionGroup if a part of it failed."""
        steps = [self._update_links] if table == PEER_TABLE else []
        cfg = self.view.configuration
        if cfg is not None:
            self._organisations = {each.name: each for each in cfg.keys.values()}
            # A group that can't be updated must not keep the others from being updated.
            steps += [partial(self._update_group, cfg, group) for group in cfg.groups.values()]
            steps += [
                partial(self._remove_group, name)
                for name in self.runners.keys() - cfg.groups.keys()
            ]
            steps += [self._update_links, self.sessions.end_withdrawn]
        run_all(steps)

    def _update_group(self, cfg: Configuration, group: Group) -> None:
        name = group.name
        runner = self.runners.get(name)
        if runner is None:
            lease = self.authority.add(name)
            runner = GroupRunner(name, self.clock, self._ports, self.log, self._admit, lease)
            self.crossings.attach(runner)
            failover = Failover(
                runner,
                self.clock,
                self.log,
                self.duty_router.order,
                lambda: self.reach_probe.owner(f'group/{name}') == self.peer.name,
            )
            self.runners[name] = runner
            self.ownership_manager.add(name, ManagedGroup(runner, failover))
        members = {each.id: each for each in self.view.members.values() if each.group == name}
        runner.update(group, members, self.view.evacuated, cfg.tx_idle_ms)
        self.homes.observe(name, members.values())

    def _remove_group(self, name: str) -> None:
        del self.runners[name]
        self.homes.remove(name)
        self.ownership_manager.remove(name)
        self.authority.remove(name)

    def _update_links(self) -> None:
        peers = {**self.view.peers, self.peer.name: self.peer}
        chosen = self.ownership_manager.choose_candidates(list(peers.values()))
        for peer in chosen:
            known = self._links.get(peer.name)
            if peer.name == self.peer.name:
                continue
            if known is not None and known.peer.address == peer.address:
                known.update(peer)
                continue
            if known is not None:
                known.stop()
            self._links[peer.name] = Link(
                peer,
                self._hello,
                self.clock,
                self.heartbeat_status,
                self._on_link_change,
                self.store_sync.on_reports,
            )
            # The instance may have ended before this one was started.
            self._eviction.set_unreachable(peer.name)
        for name in self._links.keys() - {peer.name for peer in chosen}:
            self._links.pop(name).retire()
            self.authority.drop_voter(name)
            self.store_sync.forget_peer(name)
            self._eviction.set_reachable(name)

    def _on_link_change(self, name: str, up: bool) -> None:
        if up:
            self._eviction.set_reachable(name)
        else:
            self.authority.drop_voter(name)
            self.store_sync.forget_peer(name)
            if self._eviction.set_unreachable(name):
                self.log.event('peer_lost', peer=name, announced=self._links[name].announced_end)
        self.ownership_manager.reconcile()

    # Background work

    def _tick_forever(self) -> None:
        log_error = traceback_logger(links.logger, self.clock)
        while True:
            eventlet.sleep(TICK_MS / 1000)
            try:
                self._tick()
            except Exception:
                log_error('housekeeping failed')

    def _tick(self) -> None:
        manager = self.ownership_manager
        run_all(
            (
                self.view.drop_missing_members,
                self.view.retry,
                self.store_sync.tick,
                self._update_ready_to_own,
                self._end_sessions_in_minority,
                self.homes.tick,
                self.crossings.tick,
                manager.reconcile,
                lambda: self.authority.update_voters(manager.candidates),
                lambda: self.authority.tick(manager.active_groups()),
                manager.tick,
                lambda: self._eviction.tick(lambda: manager.owner('evict') == self.peer.name),
            )
        )

    def _update_ready_to_own(self) -> None:
        """Allow ownership once the store content and the reachability of the peers are known."""
        if self._ready_to_own or self.view.configuration is None or not self.view.members:
            return
        if self.peer.name not in self.view.peers:
            # Without the list of instances, each instance would assume that it is the only one.
            return
        now_ms = self.clock.now_ms()
        self._peers_known_ms = self._peers_known_ms or now_ms
        reached = bool(self._links) and all(link.up for link in self._links.values())
        if reached or now_ms - self._peers_known_ms >= OWNERSHIP_START_DELAY_MS:
            self._ready_to_own = True
            link_server.broadcast_heartbeat(self.inbound, self.heartbeat_status())

    def _end_sessions_in_minority(self) -> None:
        """End idle sessions while this instance reaches no majority of the candidates."""
        now_ms = self.clock.now_ms()
        if self.leaving or self.ownership_manager.has_majority():
            self._minority_since_ms = 0
            if not self.leaving:
                self.sessions.enter(Phase.SERVING)
            return
        self._minority_since_ms = self._minority_since_ms or now_ms
        if self._ready_to_own and now_ms - self._minority_since_ms >= MINORITY_GRACE_MS:
            self.sessions.enter(Phase.DRAINING)

    # Helpers

    def _on_lease_granted(self, group: str) -> None:
        runner = self.runners.get(group)
        if runner is not None:
            runner.refresh_primary()

    def _reads_store(self, name: str) -> bool:
        """Return whether an instance reads the store itself rather than through peers.

        Calls to the store are priced and share one rate limit. Therefore only candidates read it,
        and this instance while it reaches no candidate.
        """
        if self.ownership_manager.is_candidate(name):
            return True
        return name == self.peer.name and not any(link.up for link in self._links.values())

    def _nearby_and_all_links(self) -> tuple[list[Link], list[Link]]:
        """Return the active links within this failure domain, and all active links."""
        links_up = [link for link in self._links.values() if link.up]
        near = [each for each in links_up if each.peer.failure_domain == self.peer.failure_domain]
        return near, links_up

    def _admit(self, organisation: str, wait_ms: int, hold_ms: int) -> int:
        free = organisation == ANONYMOUS
        return 0 if free else self.rate_limiter.admit(organisation, wait_ms, hold_ms)

    def _organisation(self, name: str) -> Organisation | None:
        return self._organisations.get(name)

    def _sender(self) -> str:
        return f'{self.peer.name}/{self.peer.incarnation}'

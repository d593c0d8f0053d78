"""Gateway instance: store state, ownership and routing of statements to owners."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from godwitthread.core.ownership import PeerReachability
from godwitthread.core.scheduling.admission import INITIAL_SLOT_MS
from godwitthread.core.shutdown import Phase
from godwitthread.core.statements import (
    Result,
    RunRequest,
)
from godwitthread.gateway import link_server, links, usage_collector
from godwitthread.gateway.authority_manager import AuthorityManager, ClaimRequest
from godwitthread.gateway.caller_guard import refusal_for_memory
from godwitthread.gateway.configuration_evidence import EvidenceRequest
from godwitthread.gateway.crossings import Crossings
from godwitthread.gateway.duty_router import DutyRouter
from godwitthread.gateway.entry_restoration import EntryRestoration
from godwitthread.gateway.frames import FrameStream, HeartbeatStatus, Hello
from godwitthread.gateway.grant_router import GrantRouter
from godwitthread.gateway.group_homes import GroupHomes, HomesRequest
from godwitthread.gateway.groups.failover import Failover
from godwitthread.gateway.groups.group_runner import TICK_MS, GroupRunner
from godwitthread.gateway.isolation import run_all, traceback_logger
from godwitthread.gateway.links import Link
from godwitthread.gateway.options import Options
from godwitthread.gateway.ownership_manager import ManagedGroup, OwnershipManager
from godwitthread.gateway.peer_calls import PeerCalls
from godwitthread.gateway.peer_eviction import PeerEviction
from godwitthread.gateway.peer_sync import ViewRequest
from godwitthread.gateway.promotion_duty import OrderRequest, PromotionDuty
from godwitthread.gateway.rate_limiter import GrantRequest, RateLimiter
from godwitthread.gateway.reach_probe import ReachProbe, ReachRequest
from godwitthread.gateway.refusal_reports import RefusalReports
from godwitthread.gateway.registration import Registration, mark_departed
from godwitthread.gateway.sessions import ANONYMOUS, Sessions
from godwitthread.gateway.start_gate import StartGate
from godwitthread.gateway.statement_router import StatementRouter
from godwitthread.gateway.store_rows import PEER_TABLE
from godwitthread.gateway.store_sync import ReaderRole, StoreSync
from godwitthread.gateway.store_view import StoreView
from godwitthread.gateway.stray_answers import stray_answer_reporter
from godwitthread.loop import eventlet

if TYPE_CHECKING:
    import msgspec

    from godwitthread.clock import Clock
    from godwitthread.core.catalog import Configuration, Group, Organisation, Peer
    from godwitthread.gateway.caller_guard import CallerGuard
    from godwitthread.gateway.logs import Log
    from godwitthread.gateway.metrics import Metrics
    from godwitthread.gateway.ports import Ports

#: Time without a majority after which idle sessions are ended, in ms, so that their callers connect
#: to other instances.
MINORITY_GRACE_MS = 400


class Node:
    """Serve sessions and own groups as one instance of a deployment."""

    def __init__(
        self,
        peer: Peer,
        clock: Clock,
        ports: Ports,
        log: Log,
        metrics: Metrics,
        options: Options = Options(),  # noqa: B008 - immutable
        guard: CallerGuard | None = None,
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
        self._guard = guard
        self._ports = ports
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
            lambda: {stream.peer_name for stream in self.inbound},
        )
        self.rate_limiter = RateLimiter(
            clock,
            self._organisation,
            lambda *args: self.grant_router.ask(*args),
            log,
            options.rate_tolerance,
        )
        self.duty = PromotionDuty(peer.name, peer.incarnation, ports, log, clock)
        self.runners: dict[str, GroupRunner] = {}
        self._links: dict[str, Link] = {}
        self.start_gate = StartGate(
            clock, self._links, self.inbound, self._knows_peers, self._on_ready_to_own
        )
        self.duty_router = DutyRouter(peer.name, self.duty, self.view, self._links)
        self.ownership_manager = OwnershipManager(
            peer.name, clock, self._reach, self.rate_limiter, log
        )
        self.homes = GroupHomes(
            peer.name,
            clock,
            self.ownership_manager,
            self._links,
            options.crossing_cost_ms is not None,
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
        self.usage = usage_collector.build(
            peer,
            clock,
            ports,
            log,
            self.ownership_manager,
            self._links,
            self._reach,
            lambda: self.leaving,
            self.reach_probe.owner,
        )
        self.crossings = Crossings(
            peer.failure_domain,
            options.crossing_cost_ms,
            clock,
            lambda: self.view.peers,
            log,
            metrics,
        )
        self.authority.on_answer = self.crossings.record_round_trip
        self.router = StatementRouter(
            peer,
            clock,
            self.runners,
            self._links,
            self.homes,
            self.crossings,
            self.ownership_manager.track_work,
            lambda: self.start_gate.reached,
            lambda: self.sessions.phase is Phase.STOPPING,
            self._retry_spacing_ms,
        )
        self.sessions = Sessions(
            clock,
            self._configuration_for_callers,
            self.router.run,
            log,
            metrics.observe,
            guard,
            RefusalReports(self.store_sync.configuration_basis, log, metrics),
            self.store_sync.evidence.is_refusal_final,
            lambda: self.view.not_adopted,
        )
        self.calls = self._call_handlers()
        self._threads: list[Any] = []
        self._organisations: dict[str, Organisation] = {}
        self._eviction = PeerEviction(clock, ports, log, self.view.row_revision)
        self._restoration = EntryRestoration(peer.name, self.view, ports, log, clock)
        self._hello = Hello(peer.name, peer.incarnation)
        self._report_stray = stray_answer_reporter(log, metrics)

    # Life cycle

    def start(self) -> None:
        """Register this instance, watch the store and start to own groups."""
        self._threads = self.store_sync.start()
        self._threads += [self._spawn_registration(), eventlet.spawn(self._tick_forever)]
        self._threads += self.usage.start() if self.usage else []

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
        if self.usage:
            self.usage.hand_over()
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
            and self.start_gate.reached
            and self.ownership_manager.has_majority()
            and self.store_sync.is_informed()
        )

    def heartbeat_status(self) -> HeartbeatStatus:
        """Return the status that peers receive with each heartbeat."""
        return HeartbeatStatus(self.leaving, self.start_gate.ready, self.duty.token)

    def streams(self) -> list[FrameStream]:
        """Return the streams of all peers, in both directions."""
        return [*self.inbound, *(each.stream for each in self._links.values() if each.stream)]

    def owned_groups(self) -> int:
        """Return the number of groups that this instance owns."""
        return len(self.ownership_manager.owned)

    def connections(self) -> int:
        """Return the number of open connections to members."""
        return sum(pool.total for each in self.runners.values() for pool in each.pools.values())

    def limited_members(self) -> int:
        """Return the number of members that accept fewer connections than configured."""
        return sum(len(each.limited) for each in self.runners.values())

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
        calls.add('evidence', EvidenceRequest, lambda _, req: self.store_sync.evidence.answer(req))
        if self.usage:
            calls.add(usage_collector.RESOURCE, usage_collector.UsageMessage, self.usage.receive)
        return calls

    def _run_for_peer(self, sender: str, req: RunRequest) -> Result:
        reserved = self._guard.reserve(req) if self._guard else 0
        if reserved is None:
            # The entry instance passes on more than this instance can hold.
            return refusal_for_memory(req)
        self.peer_statements += 1
        try:
            return self.router.run_here(sender, req)
        finally:
            self.peer_statements -= 1
            if reserved and self._guard:
                self._guard.budget.add(-reserved)

    def peer_ended(self, sender: str) -> None:
        """Roll back the open transactions of a peer whose connection ended."""
        for runner in self.runners.values():
            runner.end_sender(sender)

    # Ownership

    def _reach(self) -> dict[str, PeerReachability]:
        reach = {name: link.reach() for name, link in self._links.items()}
        reach[self.peer.name] = PeerReachability(
            True, leaving=self.leaving, ready=self.start_gate.ready
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
            runner.count_usage = self.usage.record if self.usage else None
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
                self._report_stray,
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
        self.start_gate.update()
        self.ownership_manager.reconcile()
        self.rate_limiter.on_reach_changed()

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
                self.view.end_former_rows,
                self.view.retry,
                self.store_sync.tick,
                self.start_gate.update,
                self._end_sessions_in_minority,
                self.homes.tick,
                self.crossings.tick,
                manager.reconcile,
                lambda: self.authority.update_voters(manager.candidates),
                lambda: self.authority.tick(manager.active_groups()),
                manager.tick,
                lambda: self._eviction.tick(self._keeps_entries),
                lambda: self._restoration.tick(self._keeps_entries),
            )
        )

    def _keeps_entries(self) -> bool:
        """Return whether this instance maintains the entries of others."""
        return self.ownership_manager.owner('evict') == self.peer.name

    def _knows_peers(self) -> bool:
        """Return whether the store content is known that the choice of owners depends on."""
        # Without the list of instances, each instance would assume that it is the only one.
        known = self.view.configuration is not None and bool(self.view.members)
        return known and self.peer.name in self.view.peers

    def _on_ready_to_own(self) -> None:
        link_server.broadcast_heartbeat(self.inbound, self.heartbeat_status())
        self.ownership_manager.reconcile()

    def _end_sessions_in_minority(self) -> None:
        """End idle sessions while this instance reaches no majority of the candidates."""
        now_ms = self.clock.now_ms()
        if self.leaving or self.ownership_manager.has_majority():
            self._minority_since_ms = 0
            if not self.leaving:
                self.sessions.enter(Phase.SERVING)
            return
        self._minority_since_ms = self._minority_since_ms or now_ms
        if self.start_gate.reached and now_ms - self._minority_since_ms >= MINORITY_GRACE_MS:
            self.sessions.enter(Phase.DRAINING)

    # Helpers

    def _configuration_for_callers(self) -> Configuration | None:
        """Return the configuration by which callers are served, None while there is none."""
        # A restored store may have an older one than peers. A caller that comes before they are
        # reached would be served by it, and be refused later on.
        usable = not self.view.store_era or self.store_sync.informed or self.ready()
        return self.view.configuration if usable else None

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

    def _retry_spacing_ms(self, group: str) -> float:
        """Return the time between two callers of this instance that return to a group, in ms.

        Each instance spreads its own callers over its part of the capacity.
        """
        slots = sum(each.slots for each in self.view.members.values() if each.group == group)
        return INITIAL_SLOT_MS * max(1, len(self.view.peers)) / max(1, slots)

    def _admit(self, organisation: str, wait_ms: int, hold_ms: int) -> int:
        free = organisation == ANONYMOUS
        return 0 if free else self.rate_limiter.admit(organisation, wait_ms, hold_ms)

    def _organisation(self, name: str) -> Organisation | None:
        return self._organisations.get(name)

    def _sender(self) -> str:
        return f'{self.peer.name}/{self.peer.incarnation}'

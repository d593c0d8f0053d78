"""Owners in the failure domain of the primary, in whole deployments."""

from __future__ import annotations

from godwitthread.core.home_domains import DWELL_MS
from godwitthread.gateway.sessions import ANONYMOUS
from godwitthread.loop import eventlet
from tests.test_gateway.fakes import request
from tests.test_system.gateways import DOMAINS, GROUP, GatewayDeployment, wait_until


class PricedDeployment(GatewayDeployment):
    """Deployment whose operators have set a price of a crossing."""

    crossing_cost_ms = 5.0

    def owner_domains(self) -> set[str]:
        """Return the failure domains of the instances that own the group."""
        owners = [node for node in self.nodes if GROUP in node.ownership_manager.owned]
        return {node.peer.failure_domain for node in owners}


def test_a_group_follows_its_primary_once_and_serves_all_the_time():
    """Guard against refusals and changes of the owner because of a promotion or a restart."""
    deployment = PricedDeployment(9)
    wait_until(lambda: deployment.owner_domains() == {DOMAINS[0]})
    eventlet.sleep(3)
    deployment.announce('m0', 'ready', DOMAINS[1])
    seen, refused = [], []
    for step in range(DWELL_MS // 100 + 30):
        if step == 200:
            # The next owner restarts, so that it sees the primary in its new domain only.
            manager = deployment.nodes[0].ownership_manager
            name = manager.first(f'group/{GROUP}', (DOMAINS[1],))
            restarted = next(node for node in deployment.nodes if node.peer.name == name)
            deployment.remove(restarted, announced=True)
            deployment.start(int(name.removeprefix('entry-')), restarted.peer)
            wait_until(lambda: all(node.ready() for node in deployment.nodes))
        for node in deployment.nodes:
            read = request('READ a', group=GROUP, organisation=ANONYMOUS)
            result, _ = node.router.run(read, None)
            refused += [result.message] if result.error else []
        seen += [deployment.owner_domains()]
        eventlet.sleep(0.1)
    deployment.stop()
    assert refused == []
    assert seen[250] == {DOMAINS[0]}
    assert seen[-1] == {DOMAINS[1]}
    # Two owners are seen while the lists of members differ between the instances.
    assert sum(len(each) != 1 for each in seen) <= 5

"""Tests of orders of engines for the load."""

import json
import types

import fakes
import orderfleet
import orderoperator
from returns.result import Success
from test_endpointchooser import TRAITS

from bulrushgrade import capacitydemand
from bulrushgrade import capacityplan
from bulrushgrade import directory
from bulrushgrade import enginefleet
from bulrushgrade import peerloads
from bulrushgrade import routing
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import operatorcalls
from bulrushgrade_daemon import operatortasks

HOSTS = ("h1/1", "h2/1", "h3/1")


def use(busy):
    engine = capacitydemand.EngineUse(
        is_prefill=False,
        streams=0,
        slots=10,
        memory_fraction=busy / 10,
        queued_s=0.0,
    )
    return capacitydemand.ServiceUse(engines=(engine,) * 10, target_s=1.0)


def spot_orders(fleet):
    return [
        call
        for call in fleet.operator.calls
        if isinstance(call.content, capacityplan.CapacityRecord)
        and call.content.is_spot
    ]


def test_steady_load_orders_fewer_spot_engines_than_the_price_allows():
    fleet = orderfleet.OrderFleet(*HOSTS, seed=1)
    fleet.use = use(6.0)
    fleet.run(14.0)
    # At first the number that the service had, 12, without any one zone.
    assert {call.content.count for call in spot_orders(fleet)} == {6}
    fleet.run(60.0)
    # Then 6 / 0.6 engines without any one zone.
    assert spot_orders(fleet)[-1].content.count == 5
    host = fleet.hosts[fleet.reporter]
    line = host.lines.read("capacity_demand")[-1]
    assert (line["demand"], line["spot_per_zone"]) == (10, 5)
    assert line["decode_utilization"] == 6.0
    demand = host.capacity.dump()["demands"]["s"]
    assert (demand["demand"], demand["is_settled"]) == (10, True)
    rendered = host.metrics.render().decode()
    assert 'engine_demand{service="s"} 10' in rendered
    json.dumps(host.capacity.dump())


def test_load_that_ends_as_the_ordering_host_is_killed_releases_nothing():
    """Guards against a successor that takes unknown load for none."""
    fleet = orderfleet.OrderFleet(*HOSTS, seed=2)
    fleet.use = use(9.0)
    fleet.run(60.0)
    killed_at = fleet.reactor.seconds()
    fleet.kill(fleet.reporter)
    fleet.use = use(0.0)
    fleet.run(capacitydemand.DEMAND_WINDOW_S)
    early = [call for call in spot_orders(fleet) if call.at > killed_at]
    # Only engines that are lost meanwhile are ordered again.
    assert {call.content.count for call in early} <= {8}
    fleet.run(60.0)
    assert spot_orders(fleet)[-1].content.count == 2
    assert fleet.operator.find_faults() == {}


class Scene:
    """One host with one decode engine at which a peer has streams."""

    def __init__(self, *names):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.leads = self.reaches_store = True
        self.peers = peerloads.PeerLoads()
        self.lines = fakes.EventRecorder()
        engine = directory.Registration(
            id="e1",
            born_ms=1,
            service="s",
            host="127.0.0.1",
            port=1,
            zone="a",
            slots=TRAITS.slots,
            state=directory.EndpointState.READY,
            cold_s=0.0,
            stage=directory.Stage.DECODE,
            sequence=1,
        )
        service = types.SimpleNamespace(name="s", scaling=orderoperator.SCALING)
        engines = enginefleet.EngineFleet(peers=self.peers)

        async def order(record, permit):
            return Success(operatorcalls.CallOutcome.ACCEPTED)

        self.tasks = operatortasks.OperatorTasks(
            timers=self.timers,
            own_name="h1/1",
            settings=gatewaysettings.Operator(),
            features=gatewaysettings.Features(enabled=frozenset(names)),
            settle_s=0.0,
            calls=operatorcalls.OperatorCalls(
                report_usage=None, order_capacity=order
            ),
            actions=types.SimpleNamespace(
                listen=lambda listener: None, perform=self.perform, end=0
            ),
            view=types.SimpleNamespace(
                table=types.SimpleNamespace(
                    configuration=types.SimpleNamespace(
                        services={"s": service}
                    ),
                    limits=lambda service: routing.ServiceLimits(
                        max_target_s=1.0
                    ),
                ),
                endpoints=types.SimpleNamespace(
                    registrations=[engine], is_leaving=lambda found: False
                ),
            ),
            work=types.SimpleNamespace(
                traits=lambda service: TRAITS, fleet=lambda service: engines
            ),
            peer_loads=self.peers,
            metrics=metrics.Metrics(),
            gossip=types.SimpleNamespace(is_leader=lambda: self.leads),
            reaches_store=lambda: self.reaches_store,
            may_order=lambda: True,
            link=types.SimpleNamespace(hosts=["h2/1"]),
            log=self.lines.make(),
            on_broken=print,
        )
        (self.capacity,) = self.tasks.services
        fakes.run(self.capacity.start())

    async def perform(self, make, send):
        return await send(await make(), None)

    def run(self, seconds, streams=None):
        for number in range(round(seconds / 0.5)):
            if streams is not None:
                shares = {"e1": peerloads.EngineShare(streams=streams)}
                at = self.timers.now
                self.peers.update_fleet(0, number, shares, at)
            self.reactor.advance(0.5)


def test_load_of_peers_determines_the_demand_if_the_feature_is_on():
    scene = Scene(gatewaysettings.DEMAND_CAPACITY)
    scene.run(3.0, streams=TRAITS.slots)
    demand = scene.capacity.dump()["demands"]["s"]
    assert (demand["demand"], demand["decode_utilization"]) == (2, 1.0)


def test_loads_that_are_stale_leave_the_demand_unsettled():
    """Guards against a host that takes peers that it can't hear for idle."""
    scene = Scene(gatewaysettings.DEMAND_CAPACITY)
    scene.run(30.0, streams=TRAITS.slots)
    assert scene.capacity.dump()["demands"]["s"]["is_settled"]
    scene.run(30.0)
    demand = scene.capacity.dump()["demands"]["s"]
    assert (demand["demand"], demand["is_settled"]) == (2, False)


def test_new_ordering_host_knows_the_load_of_the_window_before():
    """Guards against changes of the host that never let demand fall."""
    scene = Scene(gatewaysettings.DEMAND_CAPACITY)
    scene.leads = False
    scene.run(30.0, streams=TRAITS.slots)
    assert scene.capacity.dump()["demands"] == {}
    scene.leads = True
    scene.run(1.0, streams=TRAITS.slots)
    assert scene.capacity.dump()["demands"]["s"]["is_settled"]


def test_load_is_observed_while_the_store_is_unreachable():
    """Guards against a window that restarts with each outage of the store."""
    scene = Scene(gatewaysettings.DEMAND_CAPACITY)
    scene.run(30.0, streams=TRAITS.slots)
    scene.reaches_store = False
    scene.run(5.0, streams=TRAITS.slots)
    scene.reaches_store = True
    scene.run(1.0, streams=TRAITS.slots)
    assert scene.capacity.dump()["demands"]["s"]["is_settled"]


def test_engines_are_released_although_ordering_hosts_are_killed_in_turn():
    """Guards against successors that each hold the engines for a window."""
    fleet = orderfleet.OrderFleet(*HOSTS, seed=1)
    fleet.use = use(3.0)
    fleet.run(14.0)
    assert {call.content.count for call in spot_orders(fleet)} == {6}
    for _ in range(2):
        fleet.kill(fleet.reporter)
        fleet.run(15.0)
    assert spot_orders(fleet)[-1].content.count < 6
    assert fleet.operator.find_faults() == {}


def test_load_changes_nothing_without_the_feature():
    scene = Scene()
    scene.run(30.0, streams=TRAITS.slots)
    assert scene.capacity.dump()["demands"] == {}
    assert scene.lines.count("capacity_demand") == 0

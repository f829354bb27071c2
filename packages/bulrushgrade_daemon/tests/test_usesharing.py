"""Tests of workspaces' shares over many hosts."""

import random

import attrs
import fakes
import gossipscene
import pytest
import test_endpointchooser
from test_engineadmission import make_plan
import test_forwarder
from test_inflight import ROUTE
import test_workspaceshares

from bulrushgrade import attempts
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing
from bulrushgrade import streamorigins
from bulrushgrade import workspaces
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import usemessages
from bulrushgrade_daemon import usesharing

TOKENS, TARGET_S = test_workspaceshares.TOKENS, test_workspaceshares.TARGET_S
SMALL, FLOOD = test_workspaceshares.SMALL, test_workspaceshares.FLOOD
INFO = dialect.RequestInfo(
    request_id="1",
    deadline_s=6.0,
    prompt=prompt_module.Prompt(
        model="m",
        parts=(prompt_module.PromptPart(id="1", tokens=int(TOKENS)),),
        prompt_tokens=int(TOKENS),
        output_tokens=0,
    ),
    last_event_id=None,
)


def make_request(workspace, *, now=0.0, wait_s=0.0):
    """Returns a planned request; None is one without a workspace."""
    request = inflight.InFlight(
        caller=test_endpointchooser.Caller(arrived_at=now),
        info=INFO,
        route=attrs.evolve(ROUTE, target_s=TARGET_S),
        service="s",
        deadline=now + 6.0,
        workspace=workspace and workspaces.Workspace(name=workspace),
    )
    request.plan = attrs.evolve(
        make_plan(wait_s), first_event_s=wait_s, read_tokens=int(TOKENS)
    )
    return request


def make_sharing(timers, *, log=None, is_enabled=True, seed=1):
    return usesharing.UseSharing(
        is_enabled=is_enabled,
        now=lambda: timers.now,
        count_hosts=lambda: 65,
        log=(log or fakes.EventRecorder()).make(),
        rng=random.Random(seed),
    )


class Fleet(test_workspaceshares.Service):
    """Hosts that exchange their sums in load messages, before one service."""

    def __init__(self, *, demand, hosts=65, zones=3, is_enabled=True):
        super().__init__(demand=demand, hosts=hosts)
        self.reactor, self.timers, self.net, found = gossipscene.make(
            count=hosts, zones=zones
        )
        self.found = found
        self.lines = fakes.EventRecorder()
        self.sharing = {}
        for host in found:
            self.start(host, is_enabled=is_enabled)
        self.requests = {}

    def start(self, host, is_enabled=True):
        """Starts a host, or starts it again without information."""
        sharing = make_sharing(
            self.timers,
            log=self.lines,
            is_enabled=is_enabled,
            seed=host.port,
        )
        sharing.join(host.gossip.sums)
        self.sharing[host.port - 1] = sharing

    def exchange(self):
        self.reactor.advance(test_workspaceshares.STEP_S)

    def decide(self, prompt):
        sharing = self.sharing[prompt.host]
        request = make_request(prompt.workspace, now=self.timers.now)
        yields = sharing.yields(request)
        wait_s = self.wait_s(yields)
        request.plan = attrs.evolve(
            request.plan, wait_s=wait_s, first_event_s=wait_s
        )
        request.urgency += yields
        is_late = wait_s > TARGET_S
        is_admitted = sharing.admit(request)
        self.requests[prompt] = request
        return yields, is_late, not is_admitted

    def observe_served(self, prompt):
        request = self.requests[prompt]
        self.sharing[prompt.host].observe_served(request)


def test_flood_over_65_hosts_leaves_small_workspaces_their_requests():
    """Guards against a workspace that takes the capacity of all others.

    Each host sees a few of its requests. Ten hosts start again, and then for
    1.5 s all messages get lost.
    """
    fleet = Fleet(demand=FLOOD)
    fleet.run(6.0)
    for host in fleet.found[:10]:
        fleet.start(host)
    fleet.net.cut = True
    fleet.run(1.5)
    fleet.net.cut = False
    fleet.run(8.0)
    small = test_workspaceshares.small_fraction
    assert small(fleet.in_time, fleet.offered) >= 0.9
    share = test_workspaceshares.CAPACITY - sum(SMALL.values())
    assert fleet.served["large"] * TOKENS / 8.0 >= 0.9 * share
    assert fleet.in_time["large"] * TOKENS / 8.0 >= 0.75 * share
    assert fleet.idle_s <= 0.05 * 8.0
    assert fleet.lines.count("workspace_limited") <= 3 * 65


def test_messages_stay_small_with_many_workspaces():
    """Guards against messages that grow with the number of workspaces.

    A flood may cost 600 bytes per second and peer, and without saturation a
    host names no workspace.
    """
    sent = []
    for is_enabled in (False, True):
        fleet = Fleet(demand=FLOOD, hosts=9, is_enabled=is_enabled)
        fleet.run(4.0)
        sent.append(sum(fleet.net.sent_bytes.values()))
    exchanges = 9 * 8
    assert 0 < (sent[1] - sent[0]) / 4.0 / exchanges <= 600
    _, timers, _ = fakes.make_timers()
    sharing = make_sharing(timers)
    for name in SMALL:
        assert sharing.admit(make_request(name))
    assert list(sharing.read_own(0.0)) == [usemessages.make_key("s", None)]


class Saturated:
    """A host of a saturated service, flooded by one of two workspaces."""

    def __init__(self, **options):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.lines = fakes.EventRecorder()
        self.sharing = make_sharing(self.timers, log=self.lines, **options)
        for _ in range(100):
            self.send("large", wait_s=2.0)
        self.sharing.observe_served(self.send("small"))
        for _ in range(2):
            self.sharing.observe_served(self.send("large"))
        self.reactor.advance(1.0)

    def send(self, workspace, **options):
        request = make_request(workspace, now=self.timers.now, **options)
        self.sharing.yields(request)
        self.sharing.admit(request)
        return request

    def refuses(self, workspace, **options):
        """Returns how many of 100 requests are refused."""
        sent = [self.send(workspace, **options) for _ in range(100)]
        return sum(request.share_retry_s is not None for request in sent)


def test_only_late_prompts_over_the_share_are_refused():
    """Guards against refusing small workspaces, or a large one entirely."""
    host = Saturated()
    assert host.refuses("small", wait_s=2.0) == 0
    assert host.refuses(None, wait_s=2.0) == 0
    assert host.refuses("large", wait_s=0.5) == 0
    host = Saturated()
    assert 80 <= host.refuses("large", wait_s=2.0) < 100
    counts = host.sharing.counts
    assert counts["refused"] + counts["within_share"] == 100


def test_prompts_that_others_overtake_are_late_after_a_short_wait():
    """Guards against prompts over the share that are served late.

    Their queue advances only by what the shares leave, while their plan counts
    what is queued now.
    """
    host = Saturated()
    for wait_s, is_refused in ((0.08, False), (0.2, True)):
        request = make_request("large", now=host.timers.now, wait_s=wait_s)
        request.exceeds_share, request.urgency = True, routing.LOWEST_URGENCY
        assert host.sharing.admit(request) is not is_refused


def test_a_request_is_decided_on_once():
    """Guards against refusals of other attempts, and of begun streams."""
    host = Saturated()
    for _ in range(50):
        request = host.send("large", wait_s=0.5)
        request.plan = make_plan(9.0)
        assert host.sharing.admit(request)
    for _ in range(50):
        begun = make_request("large", wait_s=9.0)
        begun.origin = streamorigins.Origin(service="s", software="v1")
        again = make_request("large", wait_s=9.0)
        again.history.note(attempts.Outcome.LOST)
        for request in (begun, again):
            assert not host.sharing.yields(request)
            assert host.sharing.admit(request)


def test_disabled_or_without_workspaces_nothing_is_counted():
    """Guards against an effect where the feature isn't switched on."""
    host = Saturated(is_enabled=False)
    assert host.refuses("large", wait_s=2.0) == 0
    assert host.sharing.dump() == {} and not host.sharing.counts
    assert not host.sharing.read_own(host.timers.now)
    host = Saturated()
    request = host.send(None, wait_s=2.0)
    assert request.offered_cost is None and request.exceeds_share is None


def test_incorrect_sum_refuses_no_prompt_that_is_in_time():
    """Guards against an outage by a host that advertises nonsense."""
    host = Saturated()
    entries = {
        usemessages.make_key("s", "small"): (1e15, 1e-3, 1e9, 1.0),
        usemessages.make_key("s", "large"): (1.0, 1.0, 0.0, 0.0),
        usemessages.make_key("s", "other"): (-5.0, -5.0, -1.0, 0.0),
    }
    host.sharing._table.update_fleet(entries, host.timers.now)
    assert host.refuses("small", wait_s=0.5) == 0
    request = host.send("small", wait_s=2.0)
    assert 0 < request.share_retry_s <= 2.0
    host.reactor.advance(usesharing.TTL_S + 1.0)
    assert host.refuses("small", wait_s=2.0) == 0


def test_workspace_of_a_single_host_is_limited():
    """Guards against a flood that comes to one aggregator alone.

    Its peers don't know the workspace, and the host gets no sums of all.
    """
    host = Saturated()
    entries = {usemessages.make_key("s", None): (0.1, 0.1, 0.0, 10.0)}
    host.sharing._table.update_group("g/1", entries, host.timers.now)
    assert host.refuses("small", wait_s=2.0) == 0
    assert host.refuses("large", wait_s=2.0) >= 80


def test_limits_are_logged_when_they_begin_and_end():
    """Guards against a line for each refused request."""
    host = Saturated()
    host.refuses("large", wait_s=2.0)
    host.reactor.advance(0.5)
    host.refuses("large", wait_s=2.0)
    (line,) = host.lines.read("workspace_limited")
    assert line["workspace"] == "large" and line["is_above"]
    assert line["offered_per_s"] > line["level_per_s"] > 0
    host.reactor.advance(10.0)
    host.send("small")
    first, last = host.lines.read("workspace_limited")
    assert first == line and not last["is_above"]


def test_refused_request_is_sent_nowhere():
    """Guards against a refusal that says "not run" of a request that was."""
    host = Saturated()
    scene = test_forwarder.Scene()
    scene.forwarder._uses = host.sharing
    choose = scene.choose

    def choose_late(request):
        request.workspace = workspaces.Workspace(name="large")
        request.service = "s"
        request.info = INFO
        request.plan = make_plan(9.0)
        host.sharing.yields(request)
        return choose(request)

    scene.choose = choose_late
    while not host.sharing.counts.get("refused"):
        scene.sent.clear()
        caller = scene.send()
    ((outcome, after_s),) = caller.answers
    assert outcome == "refused" and 0 < after_s <= 2.0
    assert not scene.sent
    ended = scene.lines.read("request_ended")[-1]
    assert ended["reason"] == "over its workspace's share"
    assert ended["arrivals"] == ended["runs"] == 0


@pytest.mark.parametrize("yields", [False, True])
def test_prompts_over_the_share_are_planned_behind_all_others(yields):
    """Guards against plans that ignore the prompts which go first."""
    scene = test_endpointchooser.Scene()
    scene.chooser._yields = lambda request: yields
    least_urgent = test_endpointchooser.make_request(
        route=test_endpointchooser.DRAFTS
    )
    scene.chooser.choose(least_urgent)
    lowest = routing.LOWEST_URGENCY
    assert least_urgent.urgency == (lowest if yields else 2)
    urgent = test_endpointchooser.make_request()
    scene.chooser.choose(urgent)
    assert urgent.urgency == test_endpointchooser.QUERIES.urgency


def test_late_prompts_within_the_share_keep_their_urgency():
    """Late prompts of small workspaces waited among a flood's excess."""
    host = Saturated()
    assert host.sharing.is_guaranteed(host.send("small", wait_s=2.0))
    excess = [host.send("large", wait_s=2.0) for _ in range(20)]
    assert not all(map(host.sharing.is_guaranteed, excess))
    scene = test_endpointchooser.Scene()
    scene.chooser._is_guaranteed = lambda request: True
    request = test_endpointchooser.make_request(
        tokens=30_000, route=test_endpointchooser.DRAFTS
    )
    scene.choose(request)
    assert request.plan.first_event_s > request.route.target_s
    assert request.urgency == request.route.urgency
    scene.chooser._is_guaranteed = lambda request: False
    scene.choose(request)
    assert request.urgency == routing.LOWEST_URGENCY

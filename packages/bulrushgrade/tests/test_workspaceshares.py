"""Tests of fair shares of a saturated service among workspaces."""

import collections
import math
import random

import attrs
import pytest

from bulrushgrade import workspaceshares

TOKENS = 100.0
CAPACITY = 20_000.0
TARGET_S, PATIENCE_S = 1.0, 2.0
STEP_S = 0.05
SHARING_S = 1.0


@attrs.frozen(kw_only=True)
class Prompt:
    workspace: str
    host: int
    arrived_at: float


class Service:
    """A service with one queue, and one for prompts that let others go first.

    Requests arrive at random hosts. Each host plans by the queues and by sums
    of all hosts' use, which arrive every second, with some messages lost.
    """

    def __init__(self, *, demand, hosts=65, loss=0.0, seed=1, shares=True):
        self.rng = random.Random(seed)
        self.demand, self.loss, self.shares = demand, loss, shares
        self.hosts = [workspaceshares.WorkspaceUse() for _ in range(hosts)]
        self.queues = collections.deque(), collections.deque()
        self.now, self.budget, self.idle_s = 0.0, 0.0, 0.0
        self.step_done_s = 0.0
        self.sent, self.fair = {}, workspaceshares.FairShares()
        self.offered, self.in_time, self.served, self.refused = (
            collections.Counter() for _ in range(4)
        )

    def run(self, seconds):
        for counter in (self.offered, self.in_time, self.served, self.refused):
            counter.clear()
        self.idle_s, ends = 0.0, self.now + seconds
        while self.now < ends:
            self.now += STEP_S
            self.exchange()
            arrivals = [
                workspace
                for workspace, per_s in self.demand.items()
                for _ in range(self.draw(per_s / TOKENS * STEP_S))
            ]
            self.rng.shuffle(arrivals)
            for number, workspace in enumerate(arrivals, 1):
                self.offer(workspace)
                self.serve(STEP_S * number / len(arrivals))
            self.serve(STEP_S)
            self.step_done_s = 0.0

    def draw(self, mean):
        return int(mean) + (self.rng.random() < mean % 1)

    def exchange(self):
        if int(self.now / SHARING_S) > int((self.now - STEP_S) / SHARING_S):
            self.share()

    def share(self):
        """Sends each host's sums, and computes the shares of all."""
        for number, host in enumerate(self.hosts):
            uses = host.read("s", self.now)
            known = self.fair.uses
            if self.rng.random() >= self.loss:
                news = workspaceshares.name_largest(uses, known)
                self.sent[number] = self.now, *news
        uses, others = {}, workspaceshares.NO_USE
        for at, named, rest in self.sent.values():
            if self.now - at >= 3.0:
                continue
            others += rest
            for name, use in named.items():
                uses[name] = uses.get(name, workspaceshares.NO_USE) + use
        self.fair = workspaceshares.FairShares(uses=uses)
        whole = sum(uses.values(), others)
        if self.shares and workspaceshares.is_saturated(whole):
            self.fair = workspaceshares.divide(uses, others=others)

    def offer(self, workspace):
        self.offered[workspace] += 1
        prompt = Prompt(
            workspace=workspace,
            host=self.rng.randrange(len(self.hosts)),
            arrived_at=self.now,
        )
        yields, is_late, is_refused = self.decide(prompt)
        if is_refused or self.wait_s(yields) > PATIENCE_S:
            self.refused[workspace] += 1
        else:
            self.queues[yields or is_late].append(prompt)

    def decide(self, prompt):
        """Returns whether it yields, is expected late, and is refused."""
        fraction = self.fair.excess_fraction(prompt.workspace)
        yields = self.rng.random() < fraction
        factor = workspaceshares.OVERTAKEN_FACTOR if yields else 1.0
        is_late = self.wait_s(yields) * factor > TARGET_S
        self.hosts[prompt.host].observe_plan(
            "s", prompt.workspace, cost=TOKENS, is_late=is_late, now=self.now
        )
        return yields, is_late, yields and is_late

    def wait_s(self, yields):
        queued = len(self.queues[0]) + (len(self.queues[1]) if yields else 0)
        return queued * TOKENS / CAPACITY

    def observe_served(self, prompt):
        self.hosts[prompt.host].observe_served(
            "s", prompt.workspace, cost=TOKENS, now=self.now
        )

    def serve(self, until_s):
        """Serves what is queued, until a time within the present step."""
        self.budget += CAPACITY * (until_s - self.step_done_s)
        self.step_done_s = until_s
        while self.budget >= TOKENS:
            queue = self.queues[0] or self.queues[1]
            if not queue:
                self.idle_s += self.budget / CAPACITY
                self.budget = 0.0
                return
            prompt = queue.popleft()
            waited_s = self.now - prompt.arrived_at
            if waited_s > 2 * PATIENCE_S:
                continue
            self.budget -= TOKENS
            self.served[prompt.workspace] += 1
            self.in_time[prompt.workspace] += waited_s <= TARGET_S + STEP_S
            self.observe_served(prompt)


SMALL = {f"small{number}": 100.0 for number in range(70)}
FLOOD = SMALL | {"large": 50 * sum(SMALL.values())}


def small_fraction(counter, offered):
    return sum(counter[name] for name in SMALL) / sum(
        offered[name] for name in SMALL
    )


@pytest.mark.parametrize(("loss", "hosts"), [(0.0, 65), (0.3, 65), (0.0, 3)])
def test_flood_leaves_small_workspaces_their_requests(loss, hosts):
    """Guards against a workspace that takes the capacity of all others."""
    service = Service(demand=FLOOD, hosts=hosts, loss=loss)
    service.run(6.0)
    service.run(15.0)
    assert small_fraction(service.served, service.offered) >= 0.9
    assert small_fraction(service.in_time, service.offered) >= 0.9
    share = CAPACITY - sum(SMALL.values())
    assert service.served["large"] * TOKENS / 15.0 >= 0.9 * share
    assert service.idle_s <= 0.05 * 15.0


def test_flood_without_shares_takes_nearly_all():
    """Shows that the service of the other tests is saturated."""
    service = Service(demand=FLOOD, shares=False)
    service.run(6.0)
    service.run(10.0)
    assert small_fraction(service.in_time, service.offered) < 0.5


def test_large_workspace_alone_gets_all_of_the_service():
    """Guards against refusals that help nobody."""
    results = []
    for shares in (True, False):
        service = Service(demand={"large": 3 * CAPACITY}, shares=shares)
        service.run(10.0)
        results.append((service.served["large"], service.refused["large"]))
        assert service.idle_s <= 0.05 * 10.0
    assert results[0] == results[1]


def test_nothing_is_refused_while_there_is_room_for_all():
    """Guards against limits on a large workspace while capacity is spare."""
    service = Service(demand=SMALL | {"large": 0.55 * CAPACITY})
    service.run(20.0)
    assert not service.refused
    assert service.fair.level == math.inf


def test_idle_workspace_saves_nothing_up():
    """Guards against bursts of a workspace that was idle before."""
    half = {name: 2.0 * CAPACITY for name in ("a", "b")}
    service = Service(demand=half | {"b": 0.0})
    service.run(15.0)
    service.demand = half
    service.run(6.0)
    service.run(15.0)
    served = service.served["a"], service.served["b"]
    assert min(served) >= 0.8 * max(served)
    assert sum(served) * TOKENS >= 0.9 * CAPACITY * 15.0


def test_equal_workspaces_get_equal_parts_though_hosts_name_only_some():
    """Guards against limits that hold only for those that hosts name."""
    service = Service(demand={name: 600.0 for name in SMALL})
    service.run(6.0)
    service.run(15.0)
    counts = [service.served[name] for name in SMALL]
    assert sum(counts) * TOKENS >= 0.9 * CAPACITY * 15.0
    mean = sum(counts) / len(counts)
    assert 0.5 * mean <= min(counts) and max(counts) <= 1.5 * mean


@pytest.mark.parametrize(
    ("named", "others", "capacity", "level"),
    [
        ([10.0, 20.0], 0.0, 30.0, math.inf),
        ([10.0, 50.0], 0.0, 30.0, 20.0),
        ([40.0, 50.0], 0.0, 30.0, 15.0),
        ([5.0, 10.0, 50.0], 10.0, 50.0, 25.0),
        ([10.0] * 16, 160.0, 64.0, 10.0),
        ([], 50.0, 30.0, math.inf),
    ],
)
def test_level_is_max_min_fair(named, others, capacity, level):
    """Guards against a level that gives away too much or too little."""
    found = workspaceshares.find_level(named, others=others, capacity=capacity)
    assert found == pytest.approx(level)


def test_nothing_served_sets_no_level():
    """Guards against refusing all prompts after an outage of all engines."""
    use = workspaceshares.Use(offered=100.0, late=10.0, prompts=10.0)
    uses = {"a": use, "b": use}
    found = workspaceshares.divide(uses, others=workspaceshares.NO_USE)
    assert not found.is_limited


def test_retries_are_spread_until_the_use_has_fallen():
    """Guards against refused callers that all return at the same time."""
    rng = random.Random(1)
    after_s = [
        workspaceshares.choose_retry_after_s(9.0, None, rng) for _ in range(900)
    ]
    assert 0 < min(after_s) < 0.5 and 8.5 < max(after_s) <= 9.0
    bounded = workspaceshares.choose_retry_after_s(9.0, 3.0, rng)
    assert 0 < bounded <= 1.0


def test_idle_workspaces_are_dropped():
    """Guards against memory that grows with every workspace ever seen."""
    host = workspaceshares.WorkspaceUse()
    for number in range(1000):
        host.observe_plan("s", str(number), cost=500.0, is_late=False, now=0.0)
    assert len(host.read("s", 0.0)) == 1000
    assert host.read("s", 60.0) == {} and host.services == []

"""Tests of what a daemon believes of its engines when it chooses."""

import random

import attrs
import fakes
import hypothesis
from hypothesis import strategies as st
from test_directory import make as make_registration
from test_inflight import ROUTE

from bulrushgrade import attempts
from bulrushgrade import directory
from bulrushgrade import peerloads
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing
from bulrushgrade_daemon import choosing
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import inflight

PREFILL, DECODE = directory.Stage.PREFILL, directory.Stage.DECODE
TRAITS = routing.EngineTraits(
    slots=8,
    memory_tokens=100_000,
    token_bytes=1_000,
    link_bytes_per_s=1e9,
    kv_handle_ttl_s=5.0,
    stage_change_s=3.0,
)


def make_route(name, *, priority):
    return attrs.evolve(
        ROUTE, name=name, hostname=name, timeout_s=5.0, priority=priority
    )


QUERIES, DRAFTS = make_route("q", priority=1), make_route("d", priority=2)
TABLE = routing.RouteTable(
    configuration=routing.Configuration(
        version=1,
        routes=(QUERIES, DRAFTS),
        services={
            "llm": routing.Service(
                name="llm", max_connections=10, engine=TRAITS
            )
        },
        limits=None,
    )
)


@attrs.frozen(kw_only=True)
class Caller:
    """A caller whose request came at a time."""

    arrived_at: float = 0.0


class Scene:
    """One daemon with two engines that read and two that generate."""

    def __init__(self):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.peers = peerloads.PeerLoads()
        endpoints = directory.Directory(leaving_use_s=1.0)
        self.engines = [
            make_registration(id, service="llm", stage=stage)
            for id, stage in (
                ("p1", PREFILL),
                ("p2", PREFILL),
                ("d1", DECODE),
                ("d2", DECODE),
            )
        ]
        for engine in self.engines:
            endpoints.put(engine, now=0.0)
        work = enginework.EngineWork(
            timers=self.timers,
            table=lambda: TABLE,
            endpoints=endpoints,
            others=self.peers,
            index=None,
        )
        self.work = work
        self.fleet = work.fleet("llm")
        self.chooser = choosing.Chooser(
            timers=self.timers,
            zone="z1",
            table=lambda: TABLE,
            endpoints=endpoints,
            work=work,
            index=None,
            settle_s=2.0,
            log=fakes.EventRecorder().make(),
            rng=random.Random(1),
        )

    def eject(self, *ids):
        for engine in self.engines:
            if engine.id in ids:
                for _ in range(3):
                    self.chooser.note_failure(engine)

    def seen(self):
        (view,) = self.chooser.engine_views()
        return [found.engine.id for found in view.engines]

    def find(self, id):
        (engine,) = [found for found in self.engines if found.id == id]
        return engine

    def choose(self, request):
        """Returns the ids of the reading and the generating engine."""
        found = self.chooser.choose(request)
        reader = request.plan and request.plan.prefill
        return reader and reader.id, found and found.id

    def fail(self, id, outcome, request=None):
        ended = inflight.AttemptEnd(outcome=outcome, reason="test")
        self.chooser.failed(request or make_request(), self.find(id), ended)

    def let_stream(self, id):
        """Has an engine stream an answer; returns what takes its events."""
        engine, request = self.find(id), make_request()
        self.chooser.choose(request)
        return self.work.begin_stream(request, engine).events


def make_request(tokens=200, route=QUERIES):
    prompt = prompt_module.Prompt(
        model="m",
        parts=(prompt_module.PromptPart(id="1", tokens=tokens),),
        prompt_tokens=tokens,
        output_tokens=20,
    )
    info = dialect.RequestInfo(
        request_id="1", deadline_s=5.0, prompt=prompt, last_event_id=None
    )
    return inflight.InFlight(
        caller=Caller(), info=info, route=route, service="llm", deadline=5.0
    )


def test_engines_that_fail_here_and_nobody_uses_are_lost():
    scene = Scene()
    scene.eject("d1", "d2")
    assert scene.seen() == ["p1", "p2"]


def test_engines_that_only_fail_here_are_not_lost():
    """A daemon fails at both engines that generate, others do not.

    It had a reader change its role because "no decode engine", and prompts
    waited for the rest of the day behind one reader fewer.
    """
    scene = Scene()
    scene.eject("d1", "d2")
    share = peerloads.EngineShare(streams=3, tokens=9_000)
    scene.peers.update_group("h2", 1, {"d1": share}, scene.timers.now)
    assert scene.seen() == ["p1", "p2", "d1"]


def test_engines_that_refuse_connections_while_they_stream_are_full():
    """Two of six engines crash in a burst; the others take no more connections.

    Each host took all of them out for a second after two refused connections,
    for two the next time, and refused some 800 requests with `no endpoint`
    while the engines emptied to a fifth of their slots.
    """
    scene = Scene()
    note_events = scene.let_stream("d1")
    for _ in range(4):
        scene.reactor.advance(0.1)
        note_events(1)
        scene.fail("d1", attempts.Outcome.UNREACHED)
        scene.fail("d2", attempts.Outcome.UNREACHED)
    assert scene.choose(make_request())[1] == "d1"


def test_engines_that_have_stopped_streaming_are_lost():
    scene = Scene()
    scene.let_stream("d1")(1)
    scene.reactor.advance(0.5)
    for _ in range(2):
        scene.fail("d1", attempts.Outcome.UNREACHED)
    for _ in range(20):
        assert scene.choose(make_request())[1] == "d2"


def test_generating_engines_that_were_ejected_are_better_than_none():
    """All engines that generate fail twice, for other reasons each.

    Those that read were left, so that nothing seemed amiss; every request was
    refused until the ejections ran out.
    """
    scene = Scene()
    scene.eject("d1", "d2")
    assert scene.choose(make_request())[1] in ("d1", "d2")


def test_an_engine_that_is_another_one_now_is_left_at_once():
    """An engine that read prompts crashed and its address was taken over.

    Until its record lapsed, every prompt that was sent there was refused.
    """
    for first, other in (("p1", "p2"), ("p2", "p1")):
        scene = Scene()
        scene.fail(first, attempts.Outcome.MISDIRECTED)
        assert scene.choose(make_request(tokens=20_000))[0] == other


def test_a_full_engine_is_not_ejected():
    scene = Scene()
    for _ in range(5):
        scene.fail("d1", attempts.Outcome.TURNED_AWAY)
    for _ in range(5):
        scene.fail("d2", attempts.Outcome.UNREAD)
    assert scene.choose(make_request())[1] == "d1"


def test_a_long_prompt_that_will_be_late_lets_all_others_go_first():
    """A burst of long prompts comes, half of which could be in time.

    Read in the order of arrival, all of them were late: the last as much as
    those that came when there was still time.
    """
    scene = Scene()
    request = make_request(tokens=30_000, route=DRAFTS)
    scene.choose(request)
    assert request.plan.first_event_s > DRAFTS.target_s
    assert request.urgency == routing.LOWEST_URGENCY
    assert request.describe_plan()["urgency"] == routing.LOWEST_URGENCY
    early = make_request(tokens=3_000, route=DRAFTS)
    scene.choose(early)
    assert early.urgency == DRAFTS.urgency


def test_work_of_a_more_urgent_kind_keeps_its_place_when_it_is_late():
    """Short prompts wait in a burst, some longer than their target.

    Behind all long prompts they were not late but lost: their callers left.
    """
    scene = Scene()
    request = make_request(tokens=30_000, route=QUERIES)
    scene.choose(request)
    assert request.plan.first_event_s > QUERIES.target_s
    assert request.urgency == QUERIES.urgency


def test_a_stream_that_lets_others_go_first_counts_when_it_runs():
    scene = Scene()
    request = make_request(tokens=30_000, route=DRAFTS)
    scene.choose(request)
    notes = scene.work.begin_stream(request, scene.find("d1"))
    assert scene.work.shares() == {}
    notes.events(1)
    assert scene.work.shares()["d1"].streams == 1
    notes.ended()
    assert scene.work.shares() == {}


COUNTS = st.integers(0, 2**31)


@hypothesis.given(
    prompt_tokens=COUNTS,
    output_tokens=COUNTS,
    parts=st.lists(st.tuples(st.sampled_from("abc"), COUNTS), max_size=3),
)
def test_any_prompt_is_placed_or_refused(prompt_tokens, output_tokens, parts):
    """A caller's figures broke the planner, and with it the host."""
    scene = Scene()
    request = make_request()
    request.info = attrs.evolve(
        request.info,
        prompt=prompt_module.Prompt(
            model="m",
            parts=tuple(
                prompt_module.PromptPart(id=id, tokens=tokens)
                for id, tokens in parts
            ),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        ),
    )
    found = scene.chooser.choose(request)
    if found is not None:
        request.describe_plan()


def test_prompt_that_no_engine_can_hold_is_refused_at_once():
    """One caller's prompt was larger than any engine's memory.

    It was sent to engines that all refused it, and the mean size of long
    prompts, by which others are admitted, went up a hundred times.
    """
    scene = Scene()
    usual = make_request(tokens=50_000)
    scene.choose(usual)
    size = scene.fleet.relative_size(50_000)
    too_large = make_request(tokens=TRAITS.memory_tokens + 1)
    assert scene.choose(too_large) == (None, None)
    assert "larger" in scene.chooser.describe_lack(too_large)
    assert scene.fleet.relative_size(50_000) == size
    assert scene.choose(make_request(tokens=TRAITS.memory_tokens))[1]

"""Tests of choosing endpoints and of the state of engines behind it."""

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
from bulrushgrade import streamorigins
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import endpointchooser
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
    """A caller whose request arrived at a given time."""

    arrived_at: float = 0.0


class Scene:
    """One daemon with two prefillers and two decoders."""

    def __init__(self):
        self.reactor, self.timers, _ = fakes.make_timers()
        self.peers = peerloads.PeerLoads()
        self.permits = fakes.Permits()
        # Software versions that some host may not know.
        self.unsettled = set()
        self.age_s = 0.0
        endpoints = directory.Directory(leaving_use_s=1.0)
        self.endpoints = endpoints
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
            peers=self.peers,
            index=None,
        )
        self.work = work
        self.fleet = work.fleet("llm")
        # Tells the endpoints that the prompts of all requests may crash.
        self.is_withheld = None
        self.chooser = endpointchooser.EndpointChooser(
            timers=self.timers,
            zone="z1",
            table=lambda: TABLE,
            endpoints=endpoints,
            work=work,
            index=None,
            permits=self.permits,
            find_withheld=lambda request: self.is_withheld,
            settle_s=2.0,
            is_settled=lambda service, software: software not in self.unsettled,
            age_s=lambda: self.age_s,
            log=fakes.EventRecorder().make(),
            rng=random.Random(1),
        )

    def run_software(self, **versions):
        """Has engines run versions of software, by their ids."""
        self.engines = [
            attrs.evolve(
                engine,
                software=versions.get(engine.id, engine.software),
                sequence=engine.sequence + 1,
            )
            for engine in self.engines
        ]
        for engine in self.engines:
            self.endpoints.put(engine, now=0.0)

    def eject(self, *ids):
        for engine in self.engines:
            if engine.id in ids:
                for _ in range(3):
                    self.chooser.observe_failure(engine)

    def visible_engines(self):
        (view,) = self.chooser.engine_views()
        return [found.engine.id for found in view.engines]

    def find(self, id):
        (engine,) = [found for found in self.engines if found.id == id]
        return engine

    def choose(self, request):
        """Returns the ids of the prefiller and the decoder."""
        found = self.chooser.choose(request)
        prefiller = request.plan and request.plan.prefill
        return prefiller and prefiller.id, found and found.id

    def fail(self, id, outcome, request=None):
        ended = inflight.AttemptEnd(outcome=outcome, reason="test")
        self.chooser.observe_failed_attempt(
            request or make_request(), self.find(id), ended
        )

    def start_stream(self, id):
        """Starts a stream at an engine; returns its callback for events."""
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


def test_engines_ejected_here_and_unused_by_peers_are_lost():
    scene = Scene()
    scene.eject("d1", "d2")
    assert scene.visible_engines() == ["p1", "p2"]


def test_ejected_engines_that_stream_to_peers_are_not_lost():
    """One daemon fails to reach both decoders, its peers don't.

    It ordered a prefiller to become a decoder ("no decode engine"), and
    prompts queued for the rest of the day with one prefiller fewer.
    """
    scene = Scene()
    scene.eject("d1", "d2")
    share = peerloads.EngineShare(streams=3, tokens=9_000)
    scene.peers.update_group("h2", 1, {"d1": share}, scene.timers.now)
    assert scene.visible_engines() == ["p1", "p2", "d1"]


def test_engine_that_refuses_connections_while_streaming_is_full():
    """Two of six engines crash in a burst; the others accept no connections.

    After two refused connections, each host ejected all of them for a second,
    then for two, and refused some 800 requests with `no endpoint` while the
    use of the engines fell to a fifth of their slots.
    """
    scene = Scene()
    observe_events = scene.start_stream("d1")
    for _ in range(4):
        scene.reactor.advance(0.1)
        observe_events(1)
        scene.fail("d1", attempts.Outcome.UNREACHED)
        scene.fail("d2", attempts.Outcome.UNREACHED)
    assert scene.choose(make_request())[1] == "d1"


def test_engine_that_has_stopped_streaming_is_ejected():
    scene = Scene()
    scene.start_stream("d1")(1)
    scene.reactor.advance(0.5)
    for _ in range(2):
        scene.fail("d1", attempts.Outcome.UNREACHED)
    for _ in range(20):
        assert scene.choose(make_request())[1] == "d2"


def test_ejected_decoders_are_used_when_all_are_ejected():
    """All decoders fail twice, each for a different reason.

    As prefillers were left, the balancer did not see that a whole role was
    ejected, and every request was refused until the ejections ended.
    """
    scene = Scene()
    scene.eject("d1", "d2")
    assert scene.choose(make_request())[1] in ("d1", "d2")


def test_prefiller_whose_address_was_taken_over_is_ejected_at_once():
    """A prefiller crashes, and another endpoint takes over its address.

    Every prompt that was sent there was refused until the record expired.
    """
    for first, other in (("p1", "p2"), ("p2", "p1")):
        scene = Scene()
        scene.fail(first, attempts.Outcome.MISDIRECTED)
        assert scene.choose(make_request(tokens=20_000))[0] == other


def test_full_engine_is_not_ejected():
    scene = Scene()
    for _ in range(5):
        scene.fail("d1", attempts.Outcome.TURNED_AWAY)
    for _ in range(5):
        scene.fail("d2", attempts.Outcome.UNREAD)
    assert scene.choose(make_request())[1] == "d1"


def test_long_prompt_expected_late_gets_lowest_urgency():
    """A burst of long prompts arrives, of which half could be in time.

    Served in the order of arrival, all of them were late, also those that
    arrived while there was still time.
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


def test_late_work_of_a_more_urgent_route_keeps_its_urgency():
    """Some short prompts wait longer than their target during a burst.

    Queued behind all long prompts they were never served in time, and their
    callers disconnected.
    """
    scene = Scene()
    request = make_request(tokens=30_000, route=QUERIES)
    scene.choose(request)
    assert request.plan.first_event_s > QUERIES.target_s
    assert request.urgency == QUERIES.urgency


def test_stream_of_lowest_urgency_counts_from_its_first_event():
    scene = Scene()
    request = make_request(tokens=30_000, route=DRAFTS)
    scene.choose(request)
    observer = scene.work.begin_stream(request, scene.find("d1"))
    assert scene.work.shares() == {}
    observer.events(1)
    assert scene.work.shares()["d1"].streams == 1
    observer.ended()
    assert scene.work.shares() == {}


COUNTS = st.integers(0, 2**31)


@hypothesis.given(
    prompt_tokens=COUNTS,
    output_tokens=COUNTS,
    parts=st.lists(st.tuples(st.sampled_from("abc"), COUNTS), max_size=3),
)
def test_any_prompt_is_placed_or_refused(prompt_tokens, output_tokens, parts):
    """Extreme values from a caller crashed the planner and thus the host."""
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

    It was sent to engines that all refused it, and it raised the mean size of
    long prompts, which admission depends on, a hundredfold.
    """
    scene = Scene()
    usual = make_request(tokens=50_000)
    scene.choose(usual)
    size = scene.fleet.relative_size(50_000)
    too_large = make_request(tokens=TRAITS.memory_tokens + 1)
    assert scene.choose(too_large) == (None, None)
    assert "larger" in scene.chooser.explain_no_endpoint(too_large)
    assert scene.fleet.relative_size(50_000) == size
    assert scene.choose(make_request(tokens=TRAITS.memory_tokens))[1]


def test_endpoints_at_their_limit_are_left_out():
    """Guards against prompts planned for engines that accept no more."""
    scene = Scene()
    scene.permits.closed = {"d1": 0.5, "p1": 0.2}
    for _ in range(5):
        prefiller, decoder = scene.choose(make_request())
        assert decoder == "d2"
        assert prefiller in (None, "p2")
    request = make_request()
    assert scene.chooser.has_unlimited_alternative(request, scene.find("d1"))
    scene.permits.closed = {"d1": 0.5, "d2": 0.3}
    assert scene.choose(request) == (None, None)
    assert not scene.chooser.has_unlimited_alternative(
        request, scene.find("d1")
    )
    assert scene.chooser.book_return_s(request, 1.0) == 0.3


def test_endpoints_that_back_off_are_left_out():
    """Guards against prompts planned for engines that want no requests."""
    scene = Scene()
    scene.permits.backoffs_s = {"d1": 2.0, "p1": 2.0}
    for _ in range(5):
        prefiller, decoder = scene.choose(make_request())
        assert decoder == "d2"
        assert prefiller in (None, "p2")
    assert not scene.chooser.is_usable(make_request(), scene.find("d1"))
    request = make_request()
    assert scene.chooser.has_room(request)
    scene.permits.backoffs_s = {"d1": 2.0, "d2": 1.0}
    # Prefillers alone are no use, and no prompt is planned for them.
    assert scene.choose(request) == (None, None)
    assert not scene.chooser.has_room(request)
    assert scene.chooser.book_return_s(request, 1.0) == 1.0


def test_request_with_one_attempt_avoids_unconfirmed_endpoints():
    """Guards against prefills and callers spent on finding out."""
    scene = Scene()
    scene.permits.unconfirmed_ids = {"d1", "p1"}
    for _ in range(5):
        prefiller, decoder = scene.choose(make_request())
        assert decoder == "d2"
        assert prefiller in (None, "p2")
    scene.permits.unconfirmed_ids = {"d1", "d2"}
    assert scene.choose(make_request())[1] in ("d1", "d2")


def test_engines_that_back_off_count_where_others_use_them():
    """Guards against a role change for engines that refuse one host alone."""
    scene = Scene()
    scene.permits.backoffs_s = {"d1": 2.0, "p1": 2.0}
    assert scene.visible_engines() == ["p2", "d2"]
    scene.peers.update_group(
        "h2/1",
        1,
        {"d1": peerloads.EngineShare(streams=2, tokens=100)},
        scene.timers.now,
    )
    assert scene.visible_engines() == ["p2", "d1", "d2"]


def test_role_whose_engines_all_back_off_still_has_them():
    """Guards against an engine that changes its role for a pause of seconds."""
    scene = Scene()
    scene.permits.backoffs_s = {"d1": 2.0, "d2": 2.0}
    assert scene.visible_engines() == ["p1", "p2", "d1", "d2"]


def test_request_stops_to_try_limited_endpoints_after_some_denials():
    """Guards against requests that ask one owner after the other."""
    scene = Scene()
    scene.permits.closed = {"d1": 0.0}
    request = make_request()
    for _ in range(endpointchooser.MAX_DENIALS):
        request.observe_denial(0.2)
    assert scene.choose(request)[1] == "d2"


def test_engines_at_a_limit_do_not_count_for_their_role():
    """Guards against a role that gives up its only engines without a limit.

    Engines that accept few requests look idle, as if the role could do
    without one.
    """
    scene = Scene()
    scene.permits.closed = {"d1": 0.0, "p2": 0.3}
    assert scene.visible_engines() == ["p1", "d2"]


def make_begun(software, service="llm"):
    """Returns a request for the rest of a stream."""
    request = make_request(route=attrs.evolve(QUERIES, resumable=True))
    request.origin = streamorigins.Origin(service=service, software=software)
    return request


def test_begun_stream_goes_on_at_its_software_version():
    """Guards against streams with events of two versions."""
    scene = Scene()
    scene.run_software(p1="v1", p2="v1", d1="v1", d2="v2")
    for number in range(10):
        software = f"v{1 + number % 2}"
        prefiller, decoder = scene.choose(make_begun(software))
        assert decoder == f"d{1 + number % 2}"
        assert prefiller is None or software == "v1"
    assert scene.choose(make_begun("v3")) == (None, None)
    assert not scene.chooser.has_room(make_begun("v3"))
    reason = scene.chooser.explain_no_endpoint(make_begun("v3"))
    assert reason == "no endpoint of the stream's software version"


def test_begun_stream_goes_on_at_a_leaving_engine_of_its_version():
    """Guards against refusals while the last engine of a version leaves.

    New streams go to the engines that stay.
    """
    scene = Scene()
    scene.run_software(d1="v1", d2="v2")
    leaving = attrs.evolve(
        scene.find("d1"), state=directory.EndpointState.DRAINING, sequence=9
    )
    scene.endpoints.put(leaving, now=0.0)
    assert scene.choose(make_begun("v1"))[1] == "d1"
    for _ in range(5):
        assert scene.choose(make_request())[1] == "d2"
    scene.reactor.advance(1.1)
    assert scene.choose(make_begun("v1")) == (None, None)


def test_reused_id_is_not_trusted_while_the_records_are_old():
    """Guards against an engine that came back with other software."""
    scene = Scene()
    scene.run_software(d1="v1", d2="v2")
    scene.age_s = 2.1
    assert scene.choose(make_begun("v1")) == (None, None)
    scene.engines = [attrs.evolve(e, born_ms=0) for e in scene.engines]
    for engine in scene.engines:
        scene.endpoints.remove(engine.id, now=0.0)
    scene.endpoints.forget(now=9.0, after_s=1.0)
    scene.run_software()
    assert scene.choose(make_begun("v1"))[1] == "d1"


def test_reused_id_is_not_trusted_after_a_failure():
    """Guards against an engine that crashed and came back meanwhile.

    The records that this host has are from before.
    """
    scene = Scene()
    scene.run_software(d1="v1", d2="v2")
    scene.reactor.advance(5.0)
    scene.fail("d1", attempts.Outcome.UNREACHED)
    scene.fail("d2", attempts.Outcome.TURNED_AWAY)
    scene.reactor.advance(0.5)
    scene.age_s = 0.7
    assert scene.choose(make_begun("v1")) == (None, None)
    assert scene.choose(make_begun("v2"))[1] == "d2"
    scene.age_s = 0.4
    assert scene.choose(make_begun("v1"))[1] == "d1"


def test_version_that_some_host_may_not_know_gets_no_stream():
    """Guards against a host that takes another version for the only one."""
    scene = Scene()
    scene.run_software(d1="v1", d2="v2", p1="v1", p2="v2")
    route = attrs.evolve(QUERIES, resumable=True)
    scene.unsettled = {"v2"}
    for _ in range(5):
        assert scene.choose(make_request(route=route))[1] == "d1"
    scene.unsettled = {"v1", "v2"}
    assert scene.choose(make_request(route=route))[1] in ("d1", "d2")


def test_engine_of_a_scarce_version_keeps_room_for_begun_streams():
    """Guards against streams that find their version's last slots taken."""
    scene = Scene()
    scene.run_software(d1="v1", d2="v2", p1="v1", p2="v2")
    share = peerloads.EngineShare(streams=6, tokens=600)
    scene.peers.update_group("h2", 1, {"d1": share}, scene.timers.now)
    for _ in range(5):
        assert scene.choose(make_request())[1] == "d2"
    assert scene.choose(make_begun("v1"))[1] == "d1"
    scene.peers.update_group(
        "h2", 2, {"d1": share, "d2": share}, scene.timers.now
    )
    assert scene.choose(make_request())[1] in ("d1", "d2")


def test_prefilled_prompt_is_decoded_by_its_software_version():
    """Guards against a decoder that goes on from another version's memory."""
    scene = Scene()
    scene.run_software(p1="v1", p2="v2", d1="v1", d2="v2")
    for id, decoder in (("p1", "d1"), ("p2", "d2")):
        request = make_request(tokens=20_000)
        scene.choose(request)
        request.plan = attrs.evolve(request.plan, prefill=scene.find(id))
        assert scene.chooser.choose_decoder(request).id == decoder


def test_prompt_goes_only_to_endpoints_that_it_does_not_crash():
    """A part that one version serves was sent to the version that it crashes.

    If it may crash all endpoints, the request is refused at once.
    """
    scene = Scene()
    scene.run_software(**{engine.id: "v2" for engine in scene.engines[1:]})
    kept = scene.engines[0]
    scene.is_withheld = lambda endpoint: endpoint.software == "v2"
    request = make_request()
    usable = scene.chooser._in_service(request, 0.0)
    assert [endpoint.id for endpoint in usable] == [kept.id]
    scene.is_withheld = lambda endpoint: True
    assert scene.chooser.choose(request) is None
    assert not scene.chooser.has_room(request)
    reason = scene.chooser.explain_no_endpoint(request)
    assert reason == "prompt part quarantined"

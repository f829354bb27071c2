"""Tests of blaming and quarantining requests that crash endpoints."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from bulrushgrade import crashledger

FAR_S = 10 * crashledger.ZONE_FAILURE_S


def involve(request, endpoint, *, zone="z1", caller="c1", begun=True):
    return crashledger.Involvement(
        fingerprint=request,
        caller=caller,
        endpoint=(endpoint, 1),
        zone=zone,
        has_begun=begun,
    )


def crash(ledger, requests, *endpoints, now=0.0, **changes):
    """Crashes endpoints, each in its own zone, with all given requests."""
    for endpoint in endpoints:
        for request in requests.split():
            fields = {"zone": f"z{endpoint}"} | changes
            ledger.add_involvement(
                involve(request, endpoint, **fields), now=now
            )


def test_third_crash_of_a_request_quarantines_it():
    ledger = crashledger.CrashLedger()
    crash(ledger, "bad", "e1", "e2")
    assert ledger.blamed == set()
    crash(ledger, "bad", "e3")
    assert ledger.blamed == {"bad"}


def test_requests_are_not_blamed_for_crashes_with_another_cause():
    """Sound requests ran three times beside prompts that crash engines."""
    ledger = crashledger.CrashLedger()
    crash(ledger, "good", "e1", "e2", "e3")
    assert ledger.blamed == {"good"}
    ledger.explained = frozenset({("e2", 1)})
    assert ledger.blamed == set()
    assert ledger.left_s("good", 0.0) == 0
    crash(ledger, "good", "e4")
    assert ledger.blamed == {"good"}
    ledger.explained = frozenset({("e2", 1), ("e4", 1)})
    assert ledger.blamed == set()
    ledger.explained = frozenset()
    assert ledger.blamed == {"good"}


def test_crash_that_several_hosts_report_counts_once():
    """Guards against counting the same two crashes once per reporting host."""
    ledger = crashledger.CrashLedger()
    for _ in range(3):
        crash(ledger, "good", "e1", "e2")
    assert ledger.blamed == set()
    assert len(ledger) == 2


def test_start_again_under_the_same_id_is_another_endpoint():
    ledger = crashledger.CrashLedger()
    for born in range(3):
        ledger.add_involvement(
            crashledger.Involvement(
                fingerprint="bad",
                caller="c1",
                endpoint=("e1", born),
                zone="z1",
                has_begun=True,
            ),
            now=0.0,
        )
    assert ledger.blamed == {"bad"}


def test_request_that_ran_to_its_end_is_forgotten():
    """Guards against blaming a frequent request for occasional crashes.

    A polling request is involved in a crash now and then and completes a
    thousand times in between.
    """
    ledger = crashledger.CrashLedger()
    crash(ledger, "good", "e1", "e2")
    assert len(ledger.clear("good")) == 2
    crash(ledger, "good", "e3", "e4")
    assert ledger.blamed == set()


def test_answer_under_way_that_ends_whole_releases_its_request():
    """Many callers send the same request while a zone fails.

    Without the release, all hosts would refuse the request to all callers
    although earlier ones are answered completely.
    """
    ledger = crashledger.CrashLedger()
    crash(ledger, "list", "e1", "e2", "e3", "e4", zone="z1")
    assert ledger.is_quarantined("list", 0.0)
    assert len(ledger.clear("list")) == 4
    assert not ledger.is_quarantined("list", 0.0)


def test_request_that_waited_at_crashed_endpoints_needs_one_more():
    """Queued requests move between endpoints that another request crashes."""
    ledger = crashledger.CrashLedger()
    crash(ledger, "good", "e1", "e2", "e3", begun=False)
    assert ledger.blamed == set()
    crash(ledger, "good", "e4", begun=False)
    assert ledger.blamed == {"good"}


def test_one_answer_of_which_nothing_arrived_makes_no_difference():
    ledger = crashledger.CrashLedger()
    crash(ledger, "bad", "e1", "e2")
    crash(ledger, "bad", "e3", begun=False)
    assert ledger.blamed == {"bad"}


def test_request_whose_endpoints_end_with_their_zone_is_innocent():
    """A zone's endpoints fail one after the other with a request on them.

    The request is moved within the zone each time. It must not be refused by
    all hosts afterwards.
    """
    ledger = crashledger.CrashLedger()
    for number, endpoint in enumerate(("e1", "e2", "e3", "e4")):
        at = 0.2 * number
        ledger.add_involvement(involve("other", endpoint), now=at)
    for number, endpoint in enumerate(("e1", "e3", "e4")):
        ledger.add_involvement(involve("good", endpoint), now=0.2 * number)
    assert "good" not in ledger.blamed


def test_crashes_of_one_zone_alone_are_a_request_s_own():
    """A service has endpoints in one zone only, and nothing else crashes."""
    ledger = crashledger.CrashLedger()
    ledger.add_involvement(involve("other", "e0"), now=0.0)
    for number, endpoint in enumerate(("e1", "e2", "e3")):
        ledger.add_involvement(involve("bad", endpoint), now=FAR_S + number)
    assert ledger.blamed == {"bad"}


def test_caller_of_several_harmful_requests_needs_fewer_crashes():
    """A caller sends harmful requests one after the other, each different."""
    ledger = crashledger.CrashLedger()
    crash(ledger, "b1", "e1", "e2", "e3")
    crash(ledger, "b2", "e4", "e5", "e6")
    crash(ledger, "b3", "e7", "e8")
    crash(ledger, "good", "e7", "e8", caller="c2")
    assert ledger.blamed == {"b1", "b2", "b3"}


def test_quarantine_ends_and_says_when():
    ledger = crashledger.CrashLedger()
    crash(ledger, "bad", "e1", "e2", now=0.0)
    crash(ledger, "bad", "e3", now=100.0)
    end = 100.0 + crashledger.QUARANTINE_S
    assert ledger.left_s("bad", 160.0) == pytest.approx(end - 160.0)
    assert ledger.is_quarantined("bad", end - 1.0)
    assert not ledger.is_quarantined("bad", end)
    assert ledger.left_s("bad", end) == 0.0
    assert ledger.left_s("good", 0.0) == 0.0


def test_request_that_goes_on_crashing_is_tried_ever_more_seldom():
    """Guards against a permanent quarantine and against frequent crashes.

    A request may have become harmless, which only a further try can show. One
    that is still harmful costs an endpoint each time, so the time until the
    next try doubles.
    """
    ledger = crashledger.CrashLedger()
    crash(ledger, "bad", "e1", "e2", "e3")
    now = 0.0
    for number in range(4):
        now += crashledger.QUARANTINE_S * 2**number
        assert ledger.expire(now) == []
        assert not ledger.is_quarantined("bad", now)
        crash(ledger, "bad", f"again{number}", now=now)
        assert ledger.is_quarantined("bad", now)
    for number in range(20):
        crash(ledger, "bad", f"more{number}", now=now)
    assert ledger.left_s("bad", now) == crashledger.MAX_QUARANTINE_S


def test_request_that_is_not_sent_again_is_forgotten():
    ledger = crashledger.CrashLedger()
    crash(ledger, "bad", "e1", "e2", "e3")
    end = crashledger.QUARANTINE_S + crashledger.CRASH_TTL_S
    assert ledger.expire(end - 1.0) == []
    assert len(ledger.expire(end)) == 3
    crash(ledger, "bad", "e4", now=end)
    assert not ledger.is_quarantined("bad", end)


def test_crashes_that_lie_far_apart_still_add_up():
    """A stream that is not retried crashes one endpoint per try of its caller.

    The tries are minutes apart.
    """
    ledger = crashledger.CrashLedger()
    for number in range(3):
        at = number * 0.9 * crashledger.CRASH_TTL_S
        assert ledger.expire(at) == []
        crash(ledger, "bad", f"e{number}", now=at)
    assert ledger.blamed == {"bad"}


def test_suspicion_ends_after_its_last_crash():
    ledger = crashledger.CrashLedger()
    crash(ledger, "good", "e1", "e2")
    assert len(ledger.expire(crashledger.CRASH_TTL_S)) == 2
    crash(ledger, "good", "e3")
    assert ledger.blamed == set()


def test_great_failure_leaves_what_is_quarantined():
    """A zone with thousands of requests fails and fills the ledger."""
    ledger = crashledger.CrashLedger()
    crash(ledger, "bad", "e1", "e2", "e3")
    for number in range(crashledger.MAX_INVOLVEMENTS + 50):
        ledger.add_involvement(involve(f"r{number}", "e9"), now=1.0)
    dropped = ledger.expire(1.0)
    assert len(ledger) == crashledger.MAX_INVOLVEMENTS
    assert len(dropped) == 53
    assert ledger.blamed == {"bad"}


def test_caller_with_very_many_harmful_requests_does_not_fill_memory():
    ledger = crashledger.CrashLedger()
    for number in range(crashledger.MAX_INVOLVEMENTS):
        crash(ledger, f"b{number}", "e1", "e2", "e3")
        if number % 500 == 0:
            ledger.expire(0.0)
    ledger.expire(0.0)
    assert len(ledger) == crashledger.MAX_INVOLVEMENTS


class CrashLedgerMachine(stateful.RuleBasedStateMachine):
    """Two hosts that learn of crashes in different orders blame the same."""

    def __init__(self):
        super().__init__()
        self.one = crashledger.CrashLedger()
        self.other = crashledger.CrashLedger()
        self.waiting = []
        self.now = 0.0

    @stateful.rule(
        request=st.sampled_from("abc"),
        endpoint=st.sampled_from("123456"),
        zone=st.sampled_from("xy"),
        begun=st.booleans(),
    )
    def crash(self, request, endpoint, zone, begun):
        involvement = involve(request, endpoint, zone=zone, begun=begun)
        if involvement.key in self.one:
            return
        self.one.add_involvement(involvement, now=self.now)
        self.waiting.append(involvement)

    @stateful.rule(data=st.data())
    def learn(self, data):
        if self.waiting:
            number = data.draw(st.integers(0, len(self.waiting) - 1))
            self.other.add_involvement(self.waiting.pop(number), now=self.now)

    @stateful.rule(request=st.sampled_from("abc"))
    def run_to_its_end(self, request):
        for key in self.one.clear(request):
            self.other.drop(key)
        self.waiting = [s for s in self.waiting if s.key in self.one]

    @stateful.invariant()
    def agrees_once_all_is_known(self):
        if not self.waiting:
            assert self.one.blamed == self.other.blamed

    @stateful.invariant()
    def blames_nobody_for_two_crashes(self):
        for request in self.one.blamed:
            assert len(self.one.involvements(request)) >= 2


TestCrashLedgerMachine = CrashLedgerMachine.TestCase
TestCrashLedgerMachine.settings = hypothesis.settings(
    max_examples=50, stateful_step_count=30
)

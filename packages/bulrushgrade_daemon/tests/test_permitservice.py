"""Tests of acquiring permits from the owners of endpoints."""

import fakes
from test_directory import make as make_registration
from test_ratelimits import RUN

from bulrushgrade import directory
from bulrushgrade import routing
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import permitgranter
from bulrushgrade_daemon import permitservice
from bulrushgrade_daemon import ratelimits

E1 = make_registration("e1")
OWN, PEER = "h1/1", "h2/1"


class Scene:
    """One host's permits, with a peer that answers as a test specifies."""

    def __init__(self, owner=PEER):
        self.clock, self.timers, _ = fakes.make_timers()
        self.sent = []
        self.owner = owner
        self.knows_peers = True
        log = fakes.EventRecorder().make()
        self.limits = ratelimits.RateLimits(timers=self.timers, log=log)
        self.signals = endpointsignals.EndpointSignals(
            timers=self.timers,
            limits=self.limits,
            directory=lambda: self.directory,
            log=log,
        )
        self.directory = directory.Directory(
            leaving_use_s=1.0, drains=self.signals.drains
        )
        self.directory.put(E1, now=0.0)
        self.permits = permitservice.PermitService(
            timers=self.timers,
            own_name=OWN,
            limits=self.limits,
            signals=self.signals,
            contacts=permitgranter.Contacts(
                find_owners=lambda id: [self.owner],
                present=lambda: [OWN, PEER],
                in_contact=lambda: [OWN, PEER],
                find_voters=lambda id: [OWN, PEER],
                announced=lambda: ["h2"],
                knows_peers=lambda: self.knows_peers,
            ),
            send=self._send,
            log=log,
        )
        fakes.run(self.permits.start())
        self.clock.pump([0.1] * 30)
        self.state(4.0)

    def _send(self, peer, message):
        self.sent.append(message)
        return True

    def state(self, per_s):
        """Has the endpoint state a limit."""
        self.answer(not_run=False, limit_per_s=per_s)

    def answer(self, **verdict):
        """Has the endpoint answer a request."""
        found = dialect.Verdict(request_id="q", misdirected=False, **verdict)
        self.signals.observe_answer(
            E1, found, kind=RUN, sent_at=self.timers.now, request_id="q"
        )

    def acquire(self, **need):
        """Starts to acquire a permit; returns the list that gets it."""
        found = []
        need = permitservice.Need(**({"urgency": 1} | need))
        running = fakes.run(self.permits.acquire(E1, need))
        running.addCallback(found.append)
        running.addErrback(lambda failure: failure.trap(Exception))
        return found, running

    def reply(self, granted, open_ms=0, limit=None):
        (query,) = [
            m for m in self.sent if isinstance(m, gatewaymessages.PermitQuery)
        ]
        self.sent.clear()
        message = gatewaymessages.PermitReply(
            peer=PEER,
            number=query.number,
            granted=granted,
            open_ms=open_ms,
            retry_ms=open_ms,
            limit=limit,
        )
        self.permits.receive(message)

    def query(self, **changes):
        """Delivers a query of the peer; returns the replies."""
        fields = {
            "peer": PEER,
            "number": 7,
            "claim": 3,
            "endpoint": "e1",
            "born_ms": E1.born_ms,
            "limit": None,
            "urgency": 1,
            "waited_ms": 0,
            "max_wait_ms": 0,
            "max_return_ms": 1000,
        }
        self.sent.clear()
        query = gatewaymessages.PermitQuery(**(fields | changes))
        self.permits.receive(query)
        return self.sent


def test_granted_permit_must_be_used_soon():
    """Guards against a slow host that uses permits of some time ago."""
    scene = Scene()
    (found, _) = scene.acquire()
    scene.reply(granted=True)
    (permit,) = found
    assert permit.is_valid(scene.timers.now)
    scene.clock.advance(permitservice.PERMIT_TTL_S + 0.1)
    assert not permit.is_valid(scene.timers.now)


def test_host_without_a_reply_has_no_permit():
    """Guards against hosts that send on when they don't reach the owner."""
    scene = Scene()
    (found, _) = scene.acquire()
    scene.clock.advance(permitservice.REPLY_TIMEOUT_S)
    (denial,) = found
    assert isinstance(denial, permitservice.Denial)
    assert isinstance(scene.sent[-1], gatewaymessages.PermitWithdrawal)
    # Nor does any other request wait for the same owner.
    assert scene.permits.closed_s(E1, urgency=0) > 0


def test_denied_endpoint_is_closed_for_less_urgent_requests_only():
    """Guards against a query for each request while there is no permit."""
    scene = Scene()
    (found, _) = scene.acquire(urgency=1)
    scene.reply(granted=False, open_ms=300)
    assert isinstance(found[0], permitservice.Denial)
    assert scene.permits.closed_s(E1, urgency=1) > 0
    assert scene.permits.closed_s(E1, routing.LOWEST_URGENCY) > 0
    assert scene.permits.closed_s(E1, urgency=0) == 0


def test_owner_reports_that_a_limit_has_ended():
    """Guards against a host that keeps a limit which others know to be over."""
    scene = Scene()
    scene.acquire()
    scene.clock.advance(0.05)
    scene.reply(granted=True, limit=(None, 10, False))
    assert not scene.permits.is_limited(E1)


def test_request_that_is_given_up_withdraws_its_claim():
    """Guards against permits for callers who have left."""
    scene = Scene()
    _, running = scene.acquire(max_wait_s=1.0)
    running.cancel()
    assert isinstance(scene.sent[-1], gatewaymessages.PermitWithdrawal)


def test_owner_grants_and_denies():
    scene = Scene(owner=OWN)
    scene.query(limit=(4.0, 0, False))
    (reply,) = scene.query()
    assert not reply.granted
    assert reply.open_ms > 0
    scene.clock.advance(0.3)
    (reply,) = scene.query(claim=4)
    assert reply.granted
    assert reply.limit[0] == 4.0


def test_waiting_claim_of_a_peer_is_decided_later_or_withdrawn():
    scene = Scene(owner=OWN)
    assert scene.query(max_wait_ms=500) == []
    scene.clock.advance(0.3)
    (reply,) = scene.sent
    assert reply.granted
    scene.query(claim=5, max_wait_ms=500)
    scene.permits.receive(
        gatewaymessages.PermitWithdrawal(
            peer=PEER, claim=5, endpoint="e1", born_ms=E1.born_ms
        )
    )
    scene.clock.advance(1.0)
    assert scene.sent == []


def test_host_that_does_not_own_an_endpoint_denies():
    """Guards against two hosts that grant the permits of one endpoint."""
    scene = Scene()
    (reply,) = scene.query()
    assert not reply.granted


def test_host_that_does_not_know_its_peers_denies():
    """Guards against a host that has just started and thinks it is alone."""
    scene = Scene(owner=OWN)
    scene.knows_peers = False
    scene.clock.advance(1.0)
    (reply,) = scene.query()
    assert not reply.granted


def test_new_owner_waits_until_all_know_it():
    """Guards against permits of the owner before and of the next one."""
    scene = Scene()
    scene.clock.advance(1.0)
    scene.owner = OWN
    (reply,) = scene.query()
    assert not reply.granted
    scene.clock.pump([0.1] * int(permitgranter.JOIN_S * 10 - 2))
    (reply,) = scene.query(claim=4)
    assert not reply.granted
    scene.clock.pump([0.1] * 10)
    (reply,) = scene.query(claim=5)
    scene.clock.pump([0.1] * 10)
    (reply,) = scene.query(claim=6)
    assert reply.granted


def back_off(scene, seconds):
    """Has the endpoint accept requests for a while, then ask for a pause."""
    scene.state(None)
    for _ in range(40):
        scene.answer(not_run=False)
        scene.clock.advance(0.1)
    scene.answer(not_run=True, backoff_s=seconds)


def test_backoff_denies_all_without_a_query():
    """Guards against requests to an endpoint that wants none."""
    scene = Scene()
    back_off(scene, 3.0)
    (found, _) = scene.acquire(max_wait_s=0.1)
    assert found == [permitservice.Denial()]
    assert scene.sent == []


def test_requests_resume_slowly_after_a_backoff():
    """Guards against a host that returns with all of its requests."""
    scene = Scene()
    back_off(scene, 1.0)
    scene.clock.advance(1.0)
    granted = []
    for _ in range(2):
        got = 0
        for _ in range(50):
            (found, _) = scene.acquire()
            got += isinstance(found[0], permitservice.Permit)
            scene.clock.advance(0.02)
        granted.append(got)
    # It had accepted 10 a second: 2.5 in the first second, 7.5 in the next.
    assert granted[0] <= 4
    assert granted[0] < granted[1] <= 10


def test_urgent_requests_resume_first():
    """Guards against a recovery in which less urgent ones take all room."""
    scene = Scene()
    back_off(scene, 1.0)
    scene.clock.advance(1.0)
    got = {0: 0, 1: 0}
    for _ in range(100):
        for urgency in (1, 0):
            (found, _) = scene.acquire(urgency=urgency)
            got[urgency] += isinstance(found[0], permitservice.Permit)
        scene.clock.advance(0.02)
    assert got[0] > 3 * got[1]


def test_callers_are_told_to_return_after_the_backoff_one_by_one():
    """Guards against callers who are refused again, or all return at once."""
    scene = Scene()
    back_off(scene, 3.0)

    def book(urgency):
        return scene.permits.book_return_s(
            [E1], urgency=urgency, max_return_s=30.0
        )

    times = [book(1) for _ in range(5)]
    assert times[0] > 3.0
    assert times == sorted(set(times))
    assert book(0) < times[1]
    # About 10 a second had been accepted.
    assert 0.05 <= times[1] - times[0] <= 0.2


def test_claims_that_wait_are_decided_when_the_endpoint_backs_off_again():
    """Guards against requests that wait for an endpoint that wants none."""
    scene = Scene()
    back_off(scene, 1.0)
    scene.clock.advance(1.9)
    while True:
        (found, _) = scene.acquire(max_wait_s=0.5)
        if not found:
            break
    scene.answer(not_run=True, backoff_s=5.0)
    scene.clock.advance(0.2)
    assert found == [permitservice.Denial()]


def test_limit_holds_after_a_backoff_too():
    """Guards against an own permit that stands in for that of all hosts."""
    scene = Scene()
    back_off(scene, 1.0)
    scene.clock.advance(1.0 + 4.0)
    scene.state(4.0)
    (found, _) = scene.acquire()
    assert found == []
    scene.reply(granted=True)
    assert isinstance(found[0], permitservice.Permit)

"""Tests of acquiring permits from the owners of endpoints."""

import fakes
from test_directory import make as make_registration
from test_ratelimits import RUN

from bulrushgrade import routing
from bulrushgrade_daemon import dialect
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
        self.permits = permitservice.PermitService(
            timers=self.timers,
            own_name=OWN,
            limits=self.limits,
            contacts=permitgranter.Contacts(
                find_owners=lambda id: [self.owner],
                present=lambda: [OWN, PEER],
                in_contact=lambda: [OWN, PEER],
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
        verdict = dialect.Verdict(
            request_id="q", not_run=False, misdirected=False, limit_per_s=per_s
        )
        self.limits.observe_answer(
            E1, verdict, kind=RUN, sent_at=self.timers.now, request_id="q"
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

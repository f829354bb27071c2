"""Tests of sending requests to endpoints."""

import fakes
import pytest
from test_directory import make as make_registration
from test_endpointconnector import make_connector
from test_endpointsignals import Scene as SignalScene
from test_inflight import make as make_request
from test_outbound import Reactor
from test_outbound import Transport

from bulrushgrade import attempts
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import endpointcalls

E1 = make_registration("e1")


class Scene(SignalScene):
    """Calls of one host over connections that the test opens."""

    def __init__(self):
        super().__init__()
        self.reactor = Reactor()
        self.calls = endpointcalls.EndpointCalls(
            reactor=self.reactor,
            now=lambda: self.timers.now,
            dialect=None,
            signals=self.signals,
            connector=make_connector(self.reactor, self.timers),
            tell_backoff=lambda *told: self.told.append(told),
            withholds=lambda request, endpoint: self.withholds,
            on_broken=None,
        )
        self.told = []
        self.withholds = False

    def run(self):
        """Starts to send a request; returns the list that gets the end."""
        request = make_request()
        request.info = dialect.RequestInfo(
            request_id="q1", deadline_s=3.0, prompt=None, last_event_id=None
        )
        ended = []
        running = fakes.run(self.calls.run(request, E1, None))
        running.addBoth(ended.append)
        return ended


@pytest.mark.parametrize(
    ("statement", "reason"),
    [({"is_leaving": True}, "leaving"), ({"backoff_s": 3.0}, "backoff")],
)
def test_statement_that_arrives_while_a_connection_opens_is_kept(
    statement, reason
):
    """Guards against requests that ask only when their endpoint is chosen."""
    scene = Scene()
    ended = scene.run()
    scene.answer(**statement)
    # A leaving endpoint is used for a while if there is no other.
    scene.clock.advance(1.5)
    transport = Transport()
    scene.reactor.connectors[0].open(transport)
    (end,) = ended
    assert end.outcome is attempts.Outcome.WITHHELD
    assert end.reason == reason
    assert transport.is_aborted


def test_prompt_that_is_quarantined_while_a_connection_opens_is_withheld():
    """A part was blamed while a request with it was on its way."""
    scene = Scene()
    ended = scene.run()
    scene.withholds = True
    transport = Transport()
    scene.reactor.connectors[0].open(transport)
    (end,) = ended
    assert end.outcome is attempts.Outcome.WITHHELD
    assert end.reason == "prompt part quarantined"
    assert transport.is_aborted

"""Tests of telling crashed endpoints from lost links."""

import fakes
import pytest
from returns.result import Failure
from returns.result import Success
from test_directory import make as make_registration

from bulrushgrade import directory
from bulrushgrade import endpointlinks
from bulrushgrade_daemon import connections
from bulrushgrade_daemon import crashcheck
from bulrushgrade_daemon import endpointconnector

E1 = make_registration("e1")
REFUSED = connections.ConnectFailed(reason="refused", is_refused=True)
SILENT = connections.ConnectFailed(reason="timeout", is_refused=False)
Cause = endpointconnector.Cause


class Connection:
    """An open connection, for itself and as a client."""

    def __init__(self):
        self.client = self.transport = self

    def abortConnection(self):  # noqa: N802
        """Closes nothing."""


class Scene:
    """A check that meets what the test specifies."""

    def __init__(self, own, *peers, may_judge=True):
        self.clock, timers, _ = fakes.make_timers()
        self.own, self.peers, self.is_judge = own, list(peers), may_judge
        self.asked = 0
        self.owns = []
        self.endpoints = directory.Directory(leaving_use_s=1.0)
        self.endpoints.put(E1, now=0.0)
        self.check = crashcheck.CrashCheck(
            timers=timers, connector=self, endpoints=self.endpoints
        )
        self.ended = []
        running = fakes.run(self.check.find_crash(E1))
        running.addBoth(self.ended.append)

    async def open_direct(self, endpoint, build):
        own = self.owns.pop(0) if self.owns else self.own
        if own is None:
            return Success(Connection())
        return Failure(own)

    def pick_judges(self, count):
        return [str(number) for number in range(len(self.peers))][:count]

    async def connect_by(self, peer, endpoint):
        self.asked += 1
        cause = self.peers[int(peer)]
        is_link_lost = cause == "link lost"
        if is_link_lost:
            cause = Cause.NO_LINK
        if cause is None:
            return Success(Connection())
        return Failure(
            endpointconnector.NotConnected(
                cause=cause,
                reason="refused",
                path=endpointlinks.Path.RELAYED,
                peer=peer,
                is_link_lost=is_link_lost,
                is_refused=self.own is REFUSED,
            )
        )

    async def may_judge(self, endpoint, since):
        return self.is_judge


def test_endpoint_that_one_peer_reaches_has_not_crashed():
    """Guards against requests blamed for a link that several hosts lost."""
    scene = Scene(REFUSED, Cause.UNREACHED, Cause.NO_LINK, None)
    assert scene.ended == [None]


def test_endpoint_that_others_reached_lately_is_checked_again():
    """Guards against a judge that has not noticed its own lost link."""
    scene = Scene(REFUSED, Cause.UNREACHED, "link lost")
    assert scene.ended == []
    scene.peers = [Cause.UNREACHED, None]
    scene.clock.advance(crashcheck.REPEAT_S)
    assert scene.ended == [None]


def test_endpoint_that_no_host_reaches_has_crashed():
    scene = Scene(REFUSED, Cause.UNREACHED, Cause.NO_LINK)
    assert scene.ended == ["refused"]


def test_single_host_judges_by_its_own_links():
    scene = Scene(REFUSED)
    assert scene.ended == ["refused"]


def test_no_crash_is_found_while_no_host_has_links():
    """Guards against requests blamed when all hosts are cut off."""
    scene = Scene(REFUSED, Cause.NO_LINK, may_judge=False)
    scene.clock.pump([crashcheck.REPEAT_S] * 4)
    assert scene.ended == []
    scene.own = None
    scene.clock.advance(crashcheck.REPEAT_S)
    assert scene.ended == [None]


def test_check_that_no_host_can_answer_ends():
    scene = Scene(REFUSED, Cause.NO_LINK, may_judge=False)
    steps = int(crashcheck.LIMIT_S / crashcheck.REPEAT_S) + 1
    scene.clock.pump([crashcheck.REPEAT_S] * steps)
    assert scene.ended == [None]


@pytest.mark.parametrize("silent_s", [1.0, crashcheck.MAX_SILENCE_S])
def test_endpoint_that_is_silent_for_a_second_has_not_crashed(silent_s):
    """Guards against a crash found where an endpoint only pauses."""
    scene = Scene(SILENT, Cause.UNREACHED)
    steps = int(silent_s / crashcheck.REPEAT_S) - 1
    scene.clock.pump([crashcheck.REPEAT_S] * steps)
    assert scene.ended == []
    scene.own = None
    scene.clock.advance(crashcheck.REPEAT_S)
    assert scene.ended == [None]


def test_silence_counts_only_while_a_host_can_judge_it():
    """Guards against a crash found as the links of all hosts return."""
    scene = Scene(SILENT, Cause.NO_LINK, may_judge=False)
    steps = int(crashcheck.MAX_SILENCE_S / crashcheck.REPEAT_S) + 2
    scene.clock.pump([crashcheck.REPEAT_S] * steps)
    scene.is_judge = True
    scene.clock.advance(crashcheck.REPEAT_S)
    assert scene.ended == []
    scene.own = None
    scene.clock.advance(crashcheck.REPEAT_S)
    assert scene.ended == [None]


def test_refusal_from_before_the_links_returned_is_no_crash():
    """Guards against a crash found as the own links return."""
    scene = Scene(None)
    scene.owns = [REFUSED, None]
    scene.ended.clear()
    running = fakes.run(scene.check.find_crash(E1))
    running.addBoth(scene.ended.append)
    assert scene.ended == [None]


def test_endpoint_that_stays_silent_has_crashed():
    scene = Scene(SILENT, Cause.UNREACHED)
    steps = int(crashcheck.MAX_SILENCE_S / crashcheck.REPEAT_S) + 1
    scene.clock.pump([crashcheck.REPEAT_S] * steps)
    assert scene.ended == ["refused"]

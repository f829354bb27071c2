"""Tests of the daemon's clock."""

from twisted.internet import base
from twisted.internet import selectreactor

from bulrushgrade_daemon import clock


def test_time_of_day_that_jumps_back_delays_no_timer(monkeypatch):
    """The time of day is set back on a serving host.

    Twisted schedules its calls by the time of day, so all timers of the
    process stopped for the length of the jump. The endpoints were not read
    again, and requests were sent to an endpoint that had left long before.
    """
    jumped_s = [0.0]
    real = base.ReactorBase.seconds

    def read_time_of_day():
        return real() - jumped_s[0]

    monkeypatch.setattr(
        base.ReactorBase, "seconds", staticmethod(read_time_of_day)
    )
    reactor = selectreactor.SelectReactor()
    clock.use_steady_clock(reactor)
    fired = []
    reactor.callLater(0.01, fired.append, True)
    jumped_s[0] = 5000.0
    end = clock.read_boottime() + 2.0
    while not fired and clock.read_boottime() < end:
        reactor.iterate(0.02)
    assert fired


def test_steady_clock_is_the_one_of_the_timer_service():
    reactor = selectreactor.SelectReactor()
    clock.use_steady_clock(reactor)
    assert abs(reactor.seconds() - clock.read_boottime()) < 1.0

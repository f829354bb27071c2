"""Tests of fetching the state of daemons."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from bulrushgrade_cli import outcome
from bulrushgrade_cli import status
from bulrushgrade_daemon import admin
from bulrushgrade_daemon import keys

STATE = {
    "callers": {"not_ready": None, "open": 3},
    "documents": {"digest": "0123456789abcdef"},
    "placing": {
        "queued": 1,
        "reports": {"a": {"state": "serving"}, "b": {"state": "changing"}},
    },
    "peers": {"peers": {"10.0.0.1:70": {}}},
    "log": {"reachable": True},
}


class StatusTest(unittest.TestCase):
    """Queries admin services that serve a fixed state."""

    timeout = 30

    async def open_admin(self, state):
        service = admin.Admin(
            reactor=reactor,
            listen=keys.Address(host="127.0.0.1", port=0),
            dump=lambda: state,
            render_metrics=lambda: b"",
        )
        await service.start()
        self.addCleanup(lambda: defer.ensureDeferred(service.stop()))
        return service.address

    async def find_silent_address(self):
        address = await self.open_admin({})
        await defer.maybeDeferred(self._cleanups.pop()[0])
        return address

    async def test_status_has_a_line_for_each_daemon(self):
        ready = await self.open_admin(STATE)
        result = await status.show_status(reactor, [ready])
        self.assertEqual(result.code, outcome.DONE)
        heading, line = result.text.splitlines()
        self.assertEqual(heading.split()[:3], ["admin", "ready", "open"])
        self.assertIn("1 changing, 1 serving", line)
        self.assertIn("01234567 ", line)
        self.assertIn("answers", line)

    async def test_status_of_unready_and_silent_daemons(self):
        reason = "no host list has been read"
        unready = await self.open_admin({"callers": {"not_ready": reason}})
        result = await status.show_status(reactor, [unready])
        self.assertEqual(result.code, outcome.REFUSED)
        self.assertIn(reason, result.text)
        silent = await self.find_silent_address()
        result = await status.show_status(reactor, [unready, silent])
        self.assertEqual(result.code, outcome.UNKNOWN)
        self.assertEqual(len(result.value["daemons"]), 2)

    async def test_dump_of_all_services_of_one_and_of_an_unknown_one(self):
        address = await self.open_admin(STATE)
        whole = await status.dump(reactor, address, None)
        self.assertEqual(whole.value, STATE)
        one = await status.dump(reactor, address, "log")
        self.assertEqual(one.value, {"reachable": True})
        none = await status.dump(reactor, address, "no-such")
        self.assertEqual(none.code, outcome.REFUSED)
        silent = await self.find_silent_address()
        result = await status.dump(reactor, silent, None)
        self.assertEqual(result.code, outcome.UNKNOWN)

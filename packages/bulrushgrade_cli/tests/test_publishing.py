"""Tests of publishing with the log stand-in."""

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from bulrushgrade import publication
from bulrushgrade_cli import checking
from bulrushgrade_cli import demodocuments
from bulrushgrade_cli import outcome
from bulrushgrade_cli import publishing
from bulrushgrade_cli import reading
from bulrushgrade_daemon import logclient
from bulrushgrade_standins import log as log_standin
from bulrushgrade_standins import server

FLEET, SERVICE, PLAIN = (
    checking.parse_draft(text, source="x").unwrap()
    for text in demodocuments.ALL
)


def edit(draft, old, new):
    text = draft.text.replace(old, new)
    assert text != draft.text
    return checking.parse_draft(text, source="x").unwrap()


FASTER = edit(SERVICE, "whole_answer_s = 60", "whole_answer_s = 50")


class PublishingTest(unittest.TestCase):
    """Publishes to a log service in this process."""

    timeout = 30

    def setUp(self):
        self.service = log_standin.LogService()
        listener = server.serve(app=self.service.app)
        self.addCleanup(listener.stop)
        self.log = logclient.LogClient(
            reactor=reactor, address=listener.address
        )
        self.addCleanup(lambda: defer.ensureDeferred(self.log.stop()))

    def publish(self, draft, **options):
        return publishing.publish(reactor, self.log, draft, **options)

    async def publish_all(self):
        for draft in (FLEET, SERVICE, PLAIN):
            result = await self.publish(draft)
            self.assertEqual(result.code, outcome.DONE, result.text)

    async def count_records(self):
        page = await self.log.read(publication.STREAM, 0)
        return page.unwrap().end_offset

    async def test_accepted_document_is_shown_with_its_history(self):
        await self.publish_all()
        shown = await reading.show(self.log, "pack-llm")
        self.assertEqual(shown.text, SERVICE.text)
        self.assertEqual(shown.value["revision"], 1)
        history = await reading.list_history(self.log, "pack-llm")
        self.assertEqual(history.code, outcome.DONE)
        self.assertIn("accepted", history.text)
        for command in (reading.show, reading.list_history):
            missing = await command(self.log, "no-such")
            self.assertEqual(missing.code, outcome.REFUSED)

    async def test_second_publish_of_the_same_document_appends_nothing(self):
        await self.publish_all()
        result = await self.publish(SERVICE, base=0)
        self.assertEqual(result.code, outcome.DONE)
        self.assertEqual(await self.count_records(), 3)

    async def test_old_base_is_refused_with_the_newer_revision(self):
        await self.publish_all()
        result = await self.publish(FASTER, base=1)
        self.assertEqual(result.code, outcome.DONE, result.text)
        slower = edit(SERVICE, "whole_answer_s = 60", "whole_answer_s = 70")
        replaced = await self.publish(slower, base=1)
        self.assertEqual(replaced.code, outcome.REFUSED)
        self.assertEqual(replaced.value["beaten_by"], 3)

    async def test_one_of_two_concurrent_publishes_is_refused(self):
        await self.publish_all()
        slower = edit(SERVICE, "whole_answer_s = 60", "whole_answer_s = 70")
        results = await defer.gatherResults(
            [
                defer.ensureDeferred(self.publish(draft))
                for draft in (FASTER, slower)
            ]
        )
        codes = sorted(result.code for result in results)
        self.assertEqual(codes, [outcome.DONE, outcome.REFUSED])
        (refused,) = (
            result for result in results if result.code == outcome.REFUSED
        )
        self.assertEqual(refused.value["code"], "base_replaced")
        self.assertEqual(refused.value["beaten_by"], 3)

    async def test_document_of_another_team_is_refused(self):
        await self.publish_all()
        foreign = edit(SERVICE, "team = platform", "team = rival")
        result = await self.publish(foreign)
        self.assertEqual(result.code, outcome.REFUSED)
        self.assertEqual(result.value["code"], "wrong_team")

    async def test_lost_answer_is_resolved_by_reading_back(self):
        # The log stores the record and the connection breaks before the
        # answer, so only the stream shows the outcome. Guards against a
        # failure report for a change that is in force, or a second publish.
        await self.publish_all()
        self.service.set_faults(log_standin.LogFaults(lose_answers=1))
        result = await self.publish(FASTER)
        self.assertEqual(result.code, outcome.DONE, result.text)
        self.assertEqual(await self.count_records(), 4)

    async def test_lost_request_is_sent_again(self):
        await self.publish_all()
        self.service.set_faults(log_standin.LogFaults(lose_requests=2))
        result = await self.publish(FASTER)
        self.assertEqual(result.code, outcome.DONE, result.text)
        self.assertEqual(await self.count_records(), 4)

    async def test_outage_before_the_append_leaves_nothing_published(self):
        self.service.set_faults(log_standin.LogFaults(outage=True))
        result = await self.publish(FLEET)
        self.assertEqual(result.code, outcome.REFUSED)
        shown = await reading.show(self.log, "fleet")
        self.assertEqual(shown.code, outcome.UNKNOWN)

    async def test_outage_after_the_append_is_reported_as_unknown(self):
        # The log stores the record, fails before it answers, and stays
        # unavailable: neither "published" nor "not published" is certain.
        append = self.log.append

        async def append_and_lose(stream, appends):
            await append(stream, appends)
            self.service.set_faults(log_standin.LogFaults(outage=True))
            reason = "the connection was lost"
            return logclient.Failure(logclient.OutcomeUnknown(reason=reason))

        self.patch(self.log, "append", append_and_lose)
        result = await self.publish(FLEET, timeout_s=0.3)
        self.assertEqual(result.code, outcome.UNKNOWN)
        self.service.set_faults(log_standin.LogFaults())
        again = await self.publish(FLEET)
        self.assertEqual(again.code, outcome.DONE)
        self.assertEqual(await self.count_records(), 1)

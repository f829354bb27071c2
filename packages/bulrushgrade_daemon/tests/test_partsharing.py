"""Tests of sharing prompt parts at crashes among hosts."""

import fakes
import pytest
from test_crashsharing import Topic
from test_crashwatch import Caller
from test_directory import make as make_registration
from test_inflight import ROUTE

from bulrushgrade import crashledger
from bulrushgrade import partledger
from bulrushgrade import prompt
from bulrushgrade_daemon import crashrecords
from bulrushgrade_daemon import crashwatch
from bulrushgrade_daemon import dialect
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import partrecords
from bulrushgrade_daemon import partsharing
from bulrushgrade_daemon import topicreader

GAP_S = 1.0
RUN_S = 0.05


def make_request(*parts, model="m", service="llm", endpoint=None):
    """Returns a request whose prompt has these parts and one of its own."""
    found = tuple(prompt.PromptPart(id=id, tokens=10) for id in (*parts, "own"))
    request = inflight.InFlight(
        caller=Caller(),
        info=dialect.RequestInfo(
            request_id="r",
            deadline_s=3.0,
            prompt=prompt.Prompt(
                model=model, parts=found, prompt_tokens=30, output_tokens=5
            ),
            last_event_id=None,
        ),
        route=ROUTE,
        service=service,
        deadline=3.0,
    )
    request.endpoint = endpoint or make_registration("e0")
    return request


def make_run(number, *parts, at, **changes):
    request = make_request(*parts)
    fields = {
        "fingerprint": f"{number:08x}" + "0" * 16,
        "caller_id": "c1",
        "request_id": f"r{number}",
        "path": "/a",
        "observed_at": at,
        "began_at": at - RUN_S,
        "written_at": at - RUN_S,
        "prompt": request.info.prompt,
        "shared_part_keys": request.shared_part_keys,
    }
    return crashwatch.InterruptedRequest(**(fields | changes))


def key(part, scope="m"):
    return partledger.make_part_key(scope=scope, part=part)


class Host:
    """What one host knows of prompt parts."""

    def __init__(self, *, topic=None, leads=True, owns=True):
        self.clock, self.timers, _ = fakes.make_timers()
        self.topic = topic or Topic()
        self.lines = fakes.EventRecorder()
        self.explained = []
        self.sharing = fakes.make_parts(
            self.timers,
            log=self.lines.make(),
            write=self.topic.write,
            leads=lambda: leads,
            owns=lambda key: owns,
            explain_crashes=self.explained.append,
            unix_clock=lambda: 1.7e9 + self.clock.seconds(),
        )
        self.ledger = self.sharing.ledger
        fakes.run(self.sharing.start())
        self.requests = 0

    def crash(self, endpoint, *parts, **changes):
        """Crashes an endpoint with a new request, after some time."""
        self.clock.advance(GAP_S)
        self.requests += 1
        at = self.clock.seconds()
        run = make_run(self.requests, *parts, at=at, **changes)
        crash = crashwatch.Crash(
            endpoint=make_registration(endpoint, zone=f"z{endpoint}"),
            runs=(run,),
            reason="refused",
            noticed_at=at,
        )
        self.sharing.observe_crash(crash)

    def crash_engines(self, count, *parts):
        for number in range(count):
            self.crash(f"e{number}", *parts)

    def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)

    def refuses(self, *parts):
        return self.sharing.find_blame(make_request(*parts)) is not None


def test_different_requests_with_one_part_quarantine_it():
    """Each of these requests was at its first crash, and none was blamed."""
    host = Host()
    host.crash_engines(3, "bad")
    assert host.refuses("bad")
    assert host.refuses("first", "bad")
    assert not host.refuses("first")
    assert host.sharing.quarantined == 1
    assert host.lines.count("prompt_parts_quarantined") == 1
    assert host.explained == [{("e0", 1), ("e1", 1), ("e2", 1)}]


def test_last_part_of_a_prompt_is_not_blamed():
    """A request's own part can't be what different requests share."""
    host = Host()
    host.crash_engines(5)
    assert len(host.ledger) == 0


def test_prompts_that_are_only_prefilled_are_no_evidence():
    host = Host()
    for number in range(5):
        host.crash(f"e{number}", "good", is_prefilling=True)
    assert len(host.ledger) == 0


def test_ids_count_within_their_model():
    host = Host()
    host.crash_engines(3, "bad")
    assert host.sharing.find_blame(make_request("bad", model="n")) is None
    assert host.sharing.find_blame(make_request("bad", service="o")) is not None


def test_completed_answer_releases_a_part_and_what_it_explained():
    host = Host()
    host.crash_engines(3, "good")
    began_at = host.clock.seconds()
    host.sharing.observe_completion(make_request("good"), began_at=began_at)
    assert not host.refuses("good")
    assert host.explained[-1] == set()
    (line,) = host.lines.read("prompt_parts_released")
    assert line["still_suspect"] == 0


def test_part_that_completed_as_the_last_one_of_a_session_is_sound():
    """A session's part is the last of one prompt, and shared by the next."""
    host = Host()
    host.crash_engines(2, "own")
    host.sharing.observe_completion(
        make_request("first"), began_at=host.clock.seconds()
    )
    assert not host.ledger.is_suspect(key("own"))


def test_software_that_completed_a_part_still_gets_it():
    """A part that crashed the new version was refused by all versions."""
    host = Host()
    host.crash_engines(3, "bad")
    old = make_registration("o", software="v0")
    host.sharing.observe_completion(
        make_request("bad", endpoint=old), began_at=host.clock.seconds()
    )
    request = make_request("bad")
    assert host.sharing.find_blame(request) is None
    is_withheld = host.sharing.find_withheld(request)
    assert not is_withheld(old)
    assert is_withheld(make_registration("e9"))
    assert host.sharing.withholds(request, make_registration("e9"))
    assert host.sharing.find_withheld(make_request("first")) is None


def test_request_is_not_retried_while_its_part_was_at_two_crashes():
    """Each retry crashed one more engine, with all that it ran."""
    host = Host()
    request = make_request("bad")
    assert host.sharing.may_retry(request)
    host.crash("e0", "bad")
    assert host.sharing.may_retry(request)
    host.crash("e1", "bad")
    assert not host.sharing.may_retry(request)
    assert host.sharing.may_retry(make_request("first"))


def test_only_the_owner_tries_a_quarantined_part_again():
    """Each of hundreds of hosts tried it, and crashed an engine."""
    owner, other = Host(), Host(owns=False)
    for host in (owner, other):
        host.crash_engines(3, "bad")
        host.clock.advance(partledger.TRIAL_DELAYS_S[0])
    request = make_request("bad")
    blame = owner.sharing.find_blame(request)
    assert not other.sharing.begin_trial(make_request("bad"), blame)
    assert owner.sharing.begin_trial(request, blame)
    assert owner.sharing.find_blame(request) is None
    assert not owner.sharing.withholds(request, make_registration("e9"))
    assert not owner.sharing.begin_trial(make_request("bad"), blame)
    assert owner.refuses("bad")


def test_prompt_with_many_parts_is_taken_in_up_to_a_limit():
    """Callers with many ids must not displace the evidence against others.

    A part of such prompts that was at an earlier crash is always taken in.
    """
    host = Host()
    ids = [f"{n:x}" for n in range(1, 400)]
    host.crash("e0", *ids)
    assert len(host.ledger) == partsharing.MAX_NEW_PARTS
    host.crash("e1", "bad")
    for number in range(2, 5):
        host.crash(f"e{number}", *(f"{number}{id}" for id in ids), "bad")
    assert host.refuses("bad")


def test_parts_at_one_crash_are_not_written():
    """Each crash cost the store a record for each part of its prompts."""
    host = Host()
    host.crash("e0", "first", "bad")
    host.pass_time(1.0)
    assert host.topic.records == {}
    host.crash("e1", "bad")
    host.pass_time(1.0)
    assert len(host.topic.records) == 2


def test_host_that_starts_later_knows_quarantined_parts():
    one = Host()
    one.crash_engines(3, "bad")
    one.pass_time(1.0)
    started = Host(topic=one.topic)
    assert started.sharing.apply_snapshot(one.topic.list()) == 3
    assert started.refuses("bad")


def test_records_that_the_store_lost_are_written_again():
    host = Host()
    host.crash_engines(3, "bad")
    host.pass_time(1.0)
    host.topic.records.clear()
    host.sharing.apply_snapshot(())
    host.pass_time(1.0)
    assert len(host.topic.records) == 3


def test_records_of_sound_parts_are_deleted_also_when_a_copy_has_them():
    """The store returned from a copy, and a sound part was refused again."""
    host = Host()
    host.crash_engines(3, "good")
    host.pass_time(1.0)
    copy = host.topic.list()
    host.sharing.observe_completion(
        make_request("good"), began_at=host.clock.seconds()
    )
    host.pass_time(3.0)
    assert host.topic.records == {}
    host.topic.records = {record.key: record.value for record in copy}
    host.sharing.apply_snapshot(copy)
    assert not host.refuses("good")
    host.pass_time(3.0)
    assert host.topic.records == {}


def test_deleted_record_drops_a_crash():
    host = Host()
    host.crash_engines(3, "bad")
    host.pass_time(1.0)
    for name in list(host.topic.records):
        deleted = topicreader.KeyedRecord(key=name, value=None)
        host.sharing.apply_records((deleted,))
    assert not host.refuses("bad")


def test_unreadable_record_is_counted_and_ignored():
    host = Host()
    host.sharing.apply_records(
        (
            topicreader.KeyedRecord(key="part:xx/e/0", value=b"{}"),
            topicreader.KeyedRecord(key="part:ab/e/x", value=b"{}"),
            topicreader.KeyedRecord(key="part:ab/e/0", value=b"no"),
            topicreader.KeyedRecord(key="part:ab", value=None),
        )
    )
    assert host.sharing.counts["unreadable"] == 3
    assert len(host.ledger) == 0


def test_old_crashes_are_dropped_and_the_leader_deletes_their_records():
    for leads in (True, False):
        host = Host(leads=leads)
        host.crash_engines(2, "once")
        host.pass_time(1.0)
        host.clock.advance(partledger.CRASH_TTL_S)
        host.pass_time(partsharing.EXPIRE_PERIOD_S + 3.0)
        assert len(host.ledger) == 0
        assert len(host.topic.records) == (0 if leads else 2)


def test_hosts_of_an_older_build_blame_no_request_for_a_parts_record():
    """They read all records of the topic as those of whole requests."""
    host = Host()
    host.crash_engines(3, "bad")
    host.crash_engines(3, "worse")
    host.pass_time(1.0)
    ledger = crashledger.CrashLedger()
    callers = set()
    for record in host.topic.list():
        found = crashrecords.read_involvement(record)
        ledger.add_involvement(found, now=0.0)
        callers.add(found.caller)
    request = make_request("bad")
    assert request.fingerprint not in ledger.blamed
    assert request.caller_id not in callers
    assert len(callers) == 2


@pytest.mark.parametrize("skew_s", [-5.0, 0.0, 5.0])
def test_starting_host_knows_what_is_quarantined_whatever_its_clock(skew_s):
    """The crashes seemed to be in the future, and counted as one."""
    host = Host()
    host.crash_engines(3, "bad")
    host.pass_time(1.0)
    started = Host(topic=host.topic)
    started.clock.advance(host.clock.seconds() + skew_s)
    started.sharing.apply_snapshot(host.topic.list())
    assert started.refuses("bad")
    started.clock.advance(0.1)
    request = make_request("bad")
    started.sharing.observe_completion(
        request, began_at=started.clock.seconds()
    )
    assert not started.refuses("bad")


@pytest.mark.parametrize("skew_s", [-7200.0, 7200.0])
def test_age_of_a_record_is_limited_where_clocks_differ(skew_s):
    host = Host()
    host.crash_engines(2, "bad")
    host.pass_time(1.0)
    now = 10_000.0
    for record in host.topic.list():
        crash = partrecords.read_crash(
            record, now=now, unix_s=1.7e9 + host.clock.seconds() + skew_s
        )
        assert abs(now - crash.crashed_at) == partledger.CRASH_TTL_S
        assert crash.crashed_at - crash.first_at == pytest.approx(RUN_S)

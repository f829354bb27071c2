"""Tests of the registry of accepted documents."""

import hypothesis
from hypothesis import strategies
from returns.result import Failure
from returns.result import Success

from bulrushgrade import acceptance
from bulrushgrade import checkpoint
from bulrushgrade import errors
from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry


def fleet_text(*, capacity=1000, newest=1, services="desk, ledger"):
    return f"""
[fleet]
format = 1
name = ring
team = office
newest_format = {newest}
[region plain]
zones = hall
[team office]
services = {services}
[team growers]
services = other
[engines all]
zone = hall
count = 1
token_s_per_s = {capacity}
"""


def service_text(service, *, team="office", share=100):
    return f"""
[document]
format = 1
service = {service}
team = {team}
kind = model
[model reader]
version = 1
[deadline all]
whole_answer_s = 9
first_token_s = 1
between_tokens_s = 1
[share]
guaranteed_token_s_per_s = {share}
"""


def publish(service, text, *, team="office", base=None, validation=1):
    return publication.CODEC.serialize(
        publication.Publish(
            service=service,
            team=team,
            base_offset=base,
            text=text,
            validation=validation,
        )
    )


def desk(*, share=100, **options):
    return publish("desk", service_text("desk", share=share), **options)


FLEET = publish("fleet", fleet_text())


class _Log:
    def __init__(self):
        self.records = []
        self.earliest = 0

    def append(self, *bodies, record_id=None):
        for body in bodies:
            offset = len(self.records)
            name = record_id or f"r{offset}"
            self.records.append(
                record.Record(offset=offset, record_id=name, body=body)
            )

    def checkpoint(self, fold, checkpoint_id="c"):
        snapshot = fold.snapshot()
        bodies = checkpoint.serialize_checkpoint(
            snapshot, checkpoint_id=checkpoint_id
        )
        self.append(*bodies)

    def read(self, fold):
        """Lets a registry read to the end; returns the outcomes."""
        outcomes, before = [], None
        while before != fold.read_offset:
            before = fold.read_offset
            fold.observe_earliest_offset(self.earliest)
            start = fold.read_offset
            outcomes += [fold.apply(r) for r in self.records[start : start + 3]]
        return outcomes


def _codes(outcomes):
    return [
        o.code if isinstance(o, publication.Verdict) else o.reason
        for o in outcomes
    ]


def _fold(*bodies):
    log, fold = _Log(), registry.Registry()
    log.append(*bodies)
    return log, fold, _codes(log.read(fold))


def test_concurrent_publishes_accept_only_the_first():
    # Two operators edit the same revision. Without the check of the base
    # offset, the second publish would overwrite the first one's change unseen.
    _, fold, codes = _fold(
        FLEET, desk(), desk(base=1, share=200), desk(base=1, share=300)
    )
    assert codes == ["accepted"] * 3 + ["base_replaced"]
    assert fold.accepted_revision("desk").offset == 2
    assert fold.find_verdict("r3").beaten_by == 2
    assert fold.documents["desk"].share.guaranteed_token_s_per_s == 200


def test_refused_publishes_change_nothing():
    _, fold, codes = _fold(
        desk(),
        FLEET,
        desk(team="growers"),
        publish("nobody", service_text("nobody")),
        publish("ledger", service_text("desk")),
        publish("ledger", service_text("ledger").replace("= model", "= x")),
        desk(validation=2),
        desk(share=1001),
        publish("fleet", fleet_text(), team="growers", base=1),
        b"{",
        b'{"kind": []}',
        b"[" * 100_000,
    )
    assert codes == [
        "no_fleet",
        "accepted",
        "wrong_team",
        "unknown_service",
        "other_heading",
        "bad_document",
        "format_not_enabled",
        "shares_do_not_fit",
        "wrong_team",
        *[registry.SkipReason.UNREADABLE] * 3,
    ]
    assert not fold.documents
    assert "[document] kind: bad value 'x'" in fold.find_verdict("r5").message


def test_fleet_document_must_cover_accepted_services():
    _, fold, codes = _fold(
        FLEET,
        desk(share=900),
        publish("fleet", fleet_text(capacity=800), base=0),
        publish("fleet", fleet_text(services="ledger"), base=0),
        publish("ledger", service_text("ledger", share=101)),
        publish("fleet", fleet_text(capacity=1001), base=0),
        publish("ledger", service_text("ledger", share=101)),
    )
    assert codes == [
        "accepted",
        "accepted",
        "shares_do_not_fit",
        "service_in_use",
        "shares_do_not_fit",
        "accepted",
        "accepted",
    ]


def test_duplicate_of_refused_publish_is_not_reevaluated():
    # A publish that does not fit the capacity is refused, but the log stored it
    # twice. If capacity is added in between, the duplicate must not be accepted
    # after its author was told of the refusal.
    log, fold, _ = _fold(FLEET, desk(share=2000))
    log.append(publish("fleet", fleet_text(capacity=3000), base=0))
    log.append(desk(share=2000), record_id="r1")
    assert _codes(log.read(fold)) == ["accepted", registry.SkipReason.DUPLICATE]
    assert fold.find_verdict("r1").code == "shares_do_not_fit"


def test_trimmed_gap_is_reported_until_checkpoint_covers_it():
    log, fold, _ = _fold(FLEET, desk())
    log.append(desk(base=1, share=200))
    log.checkpoint(fold)
    log.append(desk(base=2, share=300))
    log.read(fold)
    fresh = registry.Registry()
    assert isinstance(fresh.readiness(None), Failure)
    log.earliest = 3
    log.read(fresh)
    assert (
        "records 2 to 2 are trimmed"
        in fresh.readiness(len(log.records)).failure().reason
    )
    assert fresh.accepted_revision("desk").offset == 1
    log.checkpoint(fold, "d")
    log.append(desk(base=4, share=400))
    log.read(fresh)
    log.read(fold)
    assert fresh.readiness(len(log.records)) == Success(7)
    assert fresh.snapshot() == fold.snapshot()


def test_restore_rereads_records_before_checkpoint_parts():
    log, fold, _ = _fold(FLEET, desk())
    log.append(desk(base=1, share=200), desk(base=1, share=300))
    log.checkpoint(fold)
    log.earliest = 2
    fresh = registry.Registry()
    codes = _codes(log.read(fresh))
    log.read(fold)
    assert codes.count(registry.SkipReason.RESTORED) == 1
    assert fresh.snapshot() == fold.snapshot()
    assert fresh.accepted_revision("desk").offset == 2


def test_snapshot_never_rolls_back_registry():
    log, fold, _ = _fold(FLEET, desk())
    old = fold.snapshot()
    log.append(desk(base=1, share=200))
    log.read(fold)
    assert fold.restore_snapshot(old) == Success(3)
    forged = publication.Snapshot(
        next_offset=9, digest=old.digest, states=old.states
    )
    assert isinstance(fold.restore_snapshot(forged), Failure)
    damaged = publication.Snapshot(next_offset=9, digest="0", states=())
    assert isinstance(fold.restore_snapshot(damaged), Failure)
    assert fold.accepted_revision("desk").offset == 2


def test_snapshot_restore_parses_only_changed_documents():
    # A serving daemon that is one record behind receives a snapshot. Reparsing
    # some hundred documents would delay its callers by a third of a second.
    log, fold, _ = _fold(
        FLEET, desk(), publish("ledger", service_text("ledger"))
    )
    other = registry.Registry()
    log.read(other)
    log.append(desk(base=1, share=200))
    log.read(other)
    before = dict(fold.documents)
    assert fold.restore_snapshot(other.snapshot()) == Success(4)
    assert fold.documents["ledger"] is before["ledger"]
    assert fold.documents["desk"] == other.documents["desk"]


def test_daemon_starts_from_peer_snapshot_while_log_is_unreachable():
    _, fold, _ = _fold(FLEET, desk())
    fresh = registry.Registry()
    sent = publication.CODEC.serialize(fold.snapshot())
    assert isinstance(fresh.readiness(None), Failure)
    fresh.restore_snapshot(publication.parse_message(sent).unwrap())
    assert fresh.readiness(None) == Success(2)
    assert fresh.digest() == fold.digest()


def test_older_release_stops_at_unsupported_rules_and_keeps_state():
    log = _Log()
    log.append(
        FLEET,
        desk(),
        desk(base=1, share=200, validation=2),
        publish("fleet", fleet_text(newest=2), base=0),
        desk(base=1, share=300, validation=2),
        desk(base=4, share=400),
    )
    old = registry.Registry()
    new = registry.Registry(
        rules={**acceptance.RULE_SETS, 2: acceptance.RULE_SETS[1]}
    )
    outcomes = log.read(old)
    log.read(new)
    assert outcomes[-2:] == [
        errors.UnsupportedRules(offset=4, validation=2),
        registry.Skipped(offset=5, reason=registry.SkipReason.AHEAD),
    ]
    assert outcomes[2].code == "format_not_enabled"
    assert old.accepted_revision("desk").offset == 1
    assert (
        "newer than this release"
        in old.readiness(len(log.records)).failure().reason
    )
    assert new.accepted_revision("desk").offset == 5


def test_unowned_publishes_do_not_evict_owner_verdicts():
    log, fold, _ = _fold(FLEET, desk())
    many = publication.MAX_UNOWNED_VERDICTS + 5
    log.append(*[desk(team="growers")] * many)
    log.read(fold)
    assert fold.find_verdict("r1").accepted
    assert len(fold.history(publication.UNOWNED)) == many - 5
    log.append(*[desk()] * 40)
    log.read(fold)
    assert len(fold.history("desk")) == publication.MAX_VERDICTS
    assert fold.accepted_revision("desk").offset == 1


def test_checkpoint_with_different_digest_is_reported():
    log, fold, _ = _fold(FLEET, desk())
    _, other, _ = _fold(FLEET, desk(share=7))
    log.checkpoint(fold)
    log.checkpoint(other, "d")
    assert _codes(log.read(fold)) == [
        registry.SkipReason.CHECKPOINT,
        registry.SkipReason.DIVERGED,
    ]


@hypothesis.given(body=strategies.binary(max_size=60))
def test_arbitrary_record_body_does_not_raise(body):
    fold = registry.Registry()
    fold.apply(record.Record(offset=0, record_id="a", body=body))
    assert fold.next_offset == 1

"""Stateful test of publishers, readers and an unreliable log."""

from hypothesis import stateful
from hypothesis import strategies
from returns.result import Success

from bulrushgrade import checkpoint
from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry

OWNERS = {"desk": "office", "ledger": "office", "spray": "growers"}
CAPACITY = 100.0
READERS = 3
# Small enough that checkpoints have several parts.
PART_BYTES = 2000


FLEET = """
[fleet]
format = 1
name = ring
team = office
[region plain]
zones = hall
[team office]
services = desk, ledger
[team growers]
services = spray
[engines all]
zone = hall
count = 1
token_s_per_s = 100
"""
SERVICE = """
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


class RegistryMachine(stateful.RuleBasedStateMachine):
    """Concurrent publishers, lost responses, trimming and lagging readers."""

    def __init__(self):
        super().__init__()
        self.records, self.earliest, self.log_unreachable = [], 0, False
        self.ids = 0
        self.unsettled = {}
        self.verdicts = {}
        self.parts = []
        self.accepted_bases = set()
        # Reads every record when it is appended, before any is trimmed.
        self.reference = registry.Registry()
        self.states = [self._state()]
        self.readers = [registry.Registry() for _ in range(READERS)]
        self.highest = [{} for _ in range(READERS)]
        self.saved = [self.reference.snapshot()]
        self._append(*self._make("fleet", "office", None, 0.0))
        assert self.reference.fleet is not None

    def _state(self):
        names = ("fleet", *OWNERS)
        accepted = {
            name: self.reference.accepted_revision(name) for name in names
        }
        return self.reference.digest(), accepted

    def _make(self, service, team, base, share):
        self.ids += 1
        text = FLEET
        if service != "fleet":
            text = SERVICE.format(service=service, team=team, share=share)
        body = publication.CODEC.serialize(
            publication.Publish(
                service=service,
                team=team,
                base_offset=base,
                text=text,
                validation=1,
            )
        )
        return f"p{self.ids}", body

    def _base(self, service, reader):
        seen = self.readers[reader].accepted_revision(service)
        return seen.offset if seen else None

    def _append(self, record_id, body):
        offset = len(self.records)
        made = record.Record(offset=offset, record_id=record_id, body=body)
        self.records.append(made)
        before = self.states[-1][1]
        outcome = self.reference.apply(made)
        self.states.append(self._state())
        if isinstance(outcome, publication.Verdict):
            self._check_verdict(outcome, before)
        else:
            assert self.states[-1] == self.states[-2]

    def _check_verdict(self, verdict, before):
        assert self.verdicts.setdefault(verdict.record_id, verdict) == verdict
        after = self.states[-1][1]
        changed = {name for name in after if after[name] != before[name]}
        assert changed == ({verdict.service} if verdict.accepted else set())
        if not verdict.accepted:
            return
        race = (verdict.service, verdict.base_offset)
        assert race not in self.accepted_bases
        self.accepted_bases.add(race)
        assert verdict.team == OWNERS.get(verdict.service, "office")
        documents = self.reference.documents.values()
        shares = [d.share.guaranteed_token_s_per_s for d in documents]
        assert sum(shares) <= CAPACITY

    @stateful.precondition(lambda self: not self.log_unreachable)
    @stateful.rule(
        service=strategies.sampled_from(sorted(OWNERS)),
        share=strategies.sampled_from([0.0, 30.0, 50.0]),
        seen_by=strategies.integers(0, READERS - 1),
        delivery=strategies.sampled_from(
            ["stored", "answer lost", "lost", "two"]
        ),
    )
    def publish(self, service, share, seen_by, delivery):
        """An operator edits the revision of one reader, which may lag."""
        team = OWNERS[service]
        record_id, body = self._make(
            service, team, self._base(service, seen_by), share
        )
        for _ in range({"lost": 0, "two": 2}.get(delivery, 1)):
            self._append(record_id, body)
        if delivery in ("lost", "answer lost"):
            self.unsettled[record_id] = body

    @stateful.precondition(lambda self: not self.log_unreachable)
    @stateful.rule(
        service=strategies.sampled_from(sorted(OWNERS)),
        team=strategies.sampled_from(["office", "growers"]),
        share=strategies.sampled_from([30.0, 101.0]),
        garbage=strategies.sampled_from([b"", b"{}", b'{"kind":[]}']),
    )
    def publish_invalid(self, service, team, share, garbage):
        """Publishes an oversized or unowned document and a malformed record."""
        base = self._base(service, 0)
        self._append(*self._make(service, team, base, share))
        self.ids += 1
        self._append(f"p{self.ids}", garbage)

    @stateful.precondition(
        lambda self: self.unsettled and not self.log_unreachable
    )
    @stateful.rule(data=strategies.data())
    def append_again(self, data):
        """Retries an append whose response was lost, with the same id."""
        names = strategies.sampled_from(sorted(self.unsettled))
        record_id = data.draw(names)
        self._append(record_id, self.unsettled[record_id])

    @stateful.rule()
    def toggle_log(self):
        self.log_unreachable = not self.log_unreachable

    @stateful.precondition(lambda self: not self.log_unreachable)
    @stateful.rule(
        reader=strategies.integers(0, READERS - 1),
        limit=strategies.integers(1, 8),
    )
    def read(self, reader, limit):
        fold = self.readers[reader]
        fold.observe_earliest_offset(self.earliest)
        start = fold.read_offset
        for record_ in self.records[start : start + limit]:
            fold.apply(record_)

    @stateful.precondition(lambda self: not self.log_unreachable)
    @stateful.rule(reader=strategies.integers(0, READERS - 1))
    def begin_checkpoint(self, reader):
        """Replaces an incomplete checkpoint whose writer crashed."""
        self.read(reader, len(self.records))
        if self.readers[reader].readiness(len(self.records)) == Success(
            len(self.records)
        ):
            self.ids += 1
            bodies = checkpoint.serialize_checkpoint(
                self.readers[reader].snapshot(),
                checkpoint_id=f"c{self.ids}",
                part_bytes=PART_BYTES,
            )
            self.parts = list(bodies)

    @stateful.precondition(lambda self: self.parts and not self.log_unreachable)
    @stateful.rule(
        count=strategies.integers(1, 5),
        service=strategies.sampled_from(sorted(OWNERS)),
        share=strategies.sampled_from([10.0, 20.0, 30.0]),
    )
    def append_parts(self, count, service, share):
        """Appends a publish between a snapshot and its checkpoint's parts."""
        seen = self.reference.accepted_revision(service)
        base = seen.offset if seen else None
        self._append(*self._make(service, OWNERS[service], base, share))
        for body in self.parts[:count]:
            self.ids += 1
            self._append(f"k{self.ids}", body)
        del self.parts[:count]

    @stateful.rule(kept=strategies.integers(0, 12))
    def trim(self, kept):
        self.earliest = max(self.earliest, len(self.records) - kept)

    @stateful.precondition(
        lambda self: self.reference.last_checkpoint is not None
    )
    @stateful.rule()
    def trim_to_checkpoint(self):
        first = self.reference.last_checkpoint.snapshot.next_offset
        self.earliest = max(self.earliest, first)

    @stateful.rule(reader=strategies.integers(0, READERS - 1))
    def save(self, reader):
        self.saved.append(self.readers[reader].snapshot())

    @stateful.rule(
        reader=strategies.integers(0, READERS - 1), data=strategies.data()
    )
    def restart(self, reader, data):
        """A restarted daemon restores a snapshot that may be old."""
        self.readers[reader] = registry.Registry()
        self.highest[reader] = {}
        self.restore_snapshot_from_peer(reader, data)

    @stateful.rule(
        reader=strategies.integers(0, READERS - 1), data=strategies.data()
    )
    def restore_snapshot_from_peer(self, reader, data):
        """Restores a peer's snapshot, possibly an old one."""
        saved = data.draw(strategies.sampled_from(self.saved))
        assert isinstance(self.readers[reader].restore_snapshot(saved), Success)

    @stateful.invariant()
    def equal_offsets_have_equal_states(self):
        for fold in self.readers:
            digest, expected = self.states[fold.next_offset]
            assert fold.digest() == digest
            accepted = {name: fold.accepted_revision(name) for name in expected}
            assert accepted == expected
            assert set(fold.documents) == {
                name
                for name, revision in accepted.items()
                if revision is not None and name != "fleet"
            }

    @stateful.invariant()
    def revisions_never_decrease(self):
        for fold, highest in zip(self.readers, self.highest, strict=True):
            for name in ("fleet", *OWNERS):
                revision = fold.accepted_revision(name)
                offset = revision.offset if revision else -1
                assert offset >= highest.get(name, -1)
                highest[name] = offset

    @stateful.invariant()
    def verdicts_never_change(self):
        for fold in (*self.readers, self.reference):
            for record_id, verdict in self.verdicts.items():
                known = fold.find_verdict(record_id)
                assert known is None or known == verdict
                # Below the limit of the history no verdict is evicted.
                if verdict.offset < fold.next_offset and self.ids < 32:
                    assert known == verdict

    def teardown(self):
        """Once the log is reachable, every reader becomes ready and equal."""
        self.log_unreachable = False
        for body in checkpoint.serialize_checkpoint(
            self.reference.snapshot(),
            checkpoint_id="last",
            part_bytes=PART_BYTES,
        ):
            self._append("last", body)
        for reader, fold in enumerate(self.readers):
            for _ in range(2 * len(self.records)):
                self.read(reader, 8)
            assert fold.readiness(len(self.records)) == Success(
                len(self.records)
            )
            assert fold.snapshot() == self.reference.snapshot()
        for record_id in self.unsettled:
            found = self.readers[0].find_verdict(record_id)
            assert found == self.reference.find_verdict(record_id)


TestRegistryMachine = RegistryMachine.TestCase

"""Measures the cost of folding documents, leases and claims from the log."""

import slope

from bulrushgrade import checkpoint
from bulrushgrade import document
from bulrushgrade import leaselog
from bulrushgrade import oncelog
from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry

_SERVICE = """
[document]
format = 1
service = {name}
team = platform
kind = model
[model grade-large]
version = 1
[deadline chat]
whole_answer_s = 30
first_token_s = 2
between_tokens_s = 1
max_prompt_tokens = 2000
[deadline any]
whole_answer_s = 300
first_token_s = 60
between_tokens_s = 2
[share]
guaranteed_fraction = 0.0005
"""


def _publish(service: str, text: str) -> bytes:
    return publication.CODEC.serialize(
        publication.Publish(
            service=service,
            team="platform",
            base_offset=None,
            text=text,
            validation=document.LATEST_VALIDATION,
        )
    )


def _make_records(services: int) -> list[record.Record]:
    names = [f"workspace-{number:04}" for number in range(services)]
    fleet = (
        "[fleet]\nformat = 1\nname = f\nteam = platform\n"
        "[region r]\nzones = z\n"
        f"[team platform]\nservices = {', '.join(names)}\n"
        "[engines e]\nzone = z\ncount = 1800\ntoken_s_per_s = 500\n"
    )
    bodies = [_publish(document.FLEET, fleet)]
    bodies += [_publish(name, _SERVICE.format(name=name)) for name in names]
    return [
        record.Record(offset=n, record_id=f"publish-{n:032}", body=body)
        for n, body in enumerate(bodies)
    ]


def _fold_documents(records: list[record.Record]) -> registry.Registry:
    fold = registry.Registry()
    for item in records:
        fold.apply(item)
    if len(fold.documents) != len(records) - 1:
        raise RuntimeError("a document was refused")
    return fold


def measure_documents() -> list[slope.Slope]:
    """Measures time, memory and snapshot size by the number of documents."""
    folds, memory_sizes, sizes, restores = [], [], [], []
    for count in (100, 300, 670):
        records = _make_records(count)
        us = slope.time_us(lambda r=records: _fold_documents(r))
        folds.append((count, us / 1000))
        memory_sizes.append(
            (count, slope.count_bytes(lambda r=records: _fold_documents(r)))
        )
        snapshot = _fold_documents(records).snapshot()
        parts = checkpoint.serialize_checkpoint(snapshot, checkpoint_id="c")
        sizes.append((count, sum(map(len, parts))))
        us = slope.time_us(
            lambda s=snapshot: registry.Registry().restore_snapshot(s).unwrap()
        )
        restores.append((count, us / 1000))
    return [
        slope.Slope(
            name="documents folded from the start",
            unit="ms a document",
            points=(*folds,),
        ),
        slope.Slope(
            name="documents in memory",
            unit="bytes a document",
            points=(*memory_sizes,),
        ),
        slope.Slope(
            name="checkpoint or snapshot",
            unit="bytes a document",
            points=(*sizes,),
        ),
        slope.Slope(
            name="snapshot restored",
            unit="ms a document",
            points=(*restores,),
        ),
    ]


def measure_leases() -> list[slope.Slope]:
    """Measures size and folding time of lease renewals by their number."""
    sizes, folds = [], []
    for count in (100, 1000, 5000):
        records = _make_renewals(count)
        sizes.append((count, sum(len(item.body) for item in records)))
        us = slope.time_us(lambda r=records: _fold_leases(r))
        folds.append((count, us))
    return [
        slope.Slope(
            name="renewals on the log", unit="bytes a record", points=(*sizes,)
        ),
        slope.Slope(
            name="renewals folded", unit="us a record", points=(*folds,)
        ),
    ]


def _make_renewals(count: int) -> list[record.Record]:
    holder = "entry-statesboro-1.0123abcd"
    messages = [leaselog.Claim(holder=holder, after_offset=-1)]
    messages += [
        leaselog.Renew(holder=holder, term=0, after_offset=number)
        for number in range(count)
    ]
    return [
        record.Record(
            offset=number,
            record_id=f"{holder}-{number}",
            body=leaselog.CODEC.serialize(message),
        )
        for number, message in enumerate(messages)
    ]


def _fold_leases(records: list[record.Record]) -> None:
    fold = leaselog.LeaseFold()
    for item in records:
        fold.apply(item)
    if fold.last_offset != len(records) - 1:
        raise RuntimeError("a renewal had no effect")


def measure_claims() -> list[slope.Slope]:
    """Measures claims of once-only requests and their outcomes by number."""
    sizes, folds, memory_sizes = [], [], []
    for count in (1000, 3000, 10_000):
        records = _make_claims(count)
        sizes.append((count, sum(len(item.body) for item in records)))
        us = slope.time_us(lambda r=records: _fold_claims(r))
        folds.append((count, us))
        memory_sizes.append(
            (count, slope.count_bytes(lambda r=records: _fold_claims(r)))
        )
    return [
        slope.Slope(
            name="claims and outcomes on the log",
            unit="bytes a request",
            points=(*sizes,),
        ),
        slope.Slope(
            name="claims and outcomes folded",
            unit="us a request",
            points=(*folds,),
        ),
        slope.Slope(
            name="claims in memory for the life of a key",
            unit="bytes a request",
            points=(*memory_sizes,),
        ),
    ]


def _make_claims(count: int) -> list[record.Record]:
    answer = oncelog.Answer(
        status=200, content_type="application/json", body=b"x" * 200
    )
    records = []
    for number in range(count):
        key = oncelog.scoped_key(
            service="booking-ledger", idempotency_key=f"{number:032}"
        )
        claim_id = f"entry-statesboro-1.0123abcd-{number}"
        digest = oncelog.digest_of(method="POST", path="/bookings", body=b"")
        claim = oncelog.Claim(
            key=key, digest=digest, runner="entry-1", run_limit_s=30.0
        )
        done = oncelog.Done(
            key=key,
            claim_id=claim_id,
            digest=digest,
            known=True,
            answer=answer,
        )
        for record_id, message in ((claim_id, claim), (f"{claim_id}-d", done)):
            records.append(
                record.Record(
                    offset=len(records),
                    record_id=record_id,
                    body=oncelog.CODEC.serialize(message),
                )
            )
    return records


def _fold_claims(records: list[record.Record]) -> oncelog.OnceFold:
    fold = oncelog.OnceFold(limits=oncelog.OnceLimits())
    for item in records:
        fold.apply(item, 0.0)
    return fold

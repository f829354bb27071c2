"""Measures the fold of documents over a day of changes at the target size.

Publishes documents of typical length for 670 services of 134 teams, then 2,800
changes of random services, some of which are refused. Prints the cost of
folding one change, of a snapshot and of a checkpoint.
"""

import pathlib
import random
import time

import slope

from bulrushgrade import checkpoint
from bulrushgrade import document
from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry

SERVICES = 670
TEAMS = 134
CHANGES = 2800
EXAMPLE = pathlib.Path(__file__).parents[1] / "examples/documents/pack-llm.ini"


def _fleet() -> str:
    lines = [
        "[fleet]\nformat = 1\nname = all\nteam = team-0",
        "[region r]\nzones = z",
        "[engines e]\nzone = z\ncount = 1800\ntoken_s_per_s = 160000",
    ]
    for team in range(TEAMS):
        owned = ", ".join(f"s-{n}" for n in range(team, SERVICES, TEAMS))
        lines.append(f"[team team-{team}]\nservices = {owned}")
    return "\n".join(lines)


class _Stream:
    def __init__(self, fold: registry.Registry):
        self._fold = fold
        self._example = EXAMPLE.read_text(encoding="utf-8")
        self.records: list[record.Record] = []

    def publish(self, service: str, team: str, text: str) -> None:
        revision = self._fold.accepted_revision(service)
        body = publication.CODEC.serialize(
            publication.Publish(
                service=service,
                team=team,
                base_offset=revision.offset if revision else None,
                text=text,
                validation=document.LATEST_VALIDATION,
            )
        )
        offset = len(self.records)
        made = record.Record(
            offset=offset, record_id=f"{offset:032x}", body=body
        )
        self.records.append(made)
        self._fold.apply(made)

    def publish_change(self, number: int, *, fraction: float) -> None:
        team = f"team-{number % TEAMS}"
        text = self._example.replace("= pack-llm", f"= s-{number}")
        text = text.replace("= grading", f"= {team}")
        text = text.replace("fraction = 0.8", f"fraction = {fraction}")
        self.publish(f"s-{number}", team, text)


def _fold_records(records: list[record.Record], start: bytes | None = None):
    fold = registry.Registry()
    if start is not None:
        fold.restore_snapshot(publication.parse_message(start).unwrap())
    for item in records:
        fold.apply(item)
    return fold


def _print_size(name: str, fold: registry.Registry) -> None:
    started = time.process_time()
    body = publication.CODEC.serialize(fold.snapshot())
    elapsed_ms = (time.process_time() - started) * 1e3
    parts = checkpoint.serialize_checkpoint(
        fold.snapshot(), checkpoint_id="0" * 32
    )
    restore_us = slope.time_us(lambda: _fold_records([], body))
    print(
        f"{name}: snapshot {len(body)} bytes, "
        f"serialized in {elapsed_ms:.1f} ms, "
        f"restored in {restore_us / 1e3:.1f} ms; checkpoint of "
        f"{len(parts)} parts, {sum(map(len, parts))} bytes, "
        f"the largest {max(map(len, parts))}"
    )


def main() -> None:
    """Runs the measurement and prints the figures."""
    rng = random.Random(7)
    fold = registry.Registry()
    stream = _Stream(fold)
    stream.publish(document.FLEET, "team-0", _fleet())
    for number in range(SERVICES):
        stream.publish_change(number, fraction=0.001)
    first = publication.CODEC.serialize(fold.snapshot())
    before = len(stream.records)
    _print_size("first documents", fold)
    refused = 0
    for _ in range(CHANGES):
        number = rng.randrange(SERVICES)
        exceeds_share = rng.random() < 0.05
        refused += exceeds_share
        stream.publish_change(number, fraction=0.9 if exceeds_share else 0.001)
    changes = stream.records[before:]
    assert len(changes) == CHANGES
    print(f"a document: {len(stream.records[1].body)} bytes as a record")
    restore_us = slope.time_us(lambda: _fold_records([], first))
    step_us = (
        slope.time_us(lambda: _fold_records(changes, first)) - restore_us
    ) / CHANGES
    print(f"{CHANGES} changes, {refused} refused: {step_us:.0f} us a step")
    _print_size("after the changes", fold)
    newest = fold.snapshot()
    outdated = [
        _fold_records(stream.records[:-1]) for _ in range(slope.REPEATS)
    ]
    catch_up_us = slope.time_us(lambda: outdated.pop().restore_snapshot(newest))
    print(f"restored by a fold one change behind: {catch_up_us / 1e3:.1f} ms")
    retained_bytes = slope.count_bytes(lambda: _fold_records(stream.records))
    print(
        f"in memory: {retained_bytes} bytes, "
        f"{retained_bytes / SERVICES:.0f} a service"
    )


if __name__ == "__main__":
    main()

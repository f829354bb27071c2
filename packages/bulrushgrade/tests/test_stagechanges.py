"""Tests of tracking engines that change their stage."""

import attrs

from bulrushgrade import directory
from bulrushgrade import stagechanges

READ, GENERATE = directory.Stage.PREFILL, directory.Stage.DECODE


def engine(name="e", born_ms=1, stage=GENERATE):
    return directory.Registration(
        id=name,
        born_ms=born_ms,
        sequence=1,
        service="llm",
        host="127.0.0.1",
        port=1,
        zone="z1",
        slots=8,
        cold_s=0.0,
        state=directory.EndpointState.READY,
        stage=stage,
    )


def changing():
    changes = stagechanges.StageChanges()
    changes.record(engine(), READ, change_s=3.0, now=0.0)
    return changes


def test_an_engine_that_changes_gets_nothing():
    # Hosts that send to it until they have read its record get their requests
    # rejected for three seconds.
    other = engine("f")
    assert changing().exclude_changing([engine(), other], 1.0) == [other]


def test_an_engine_is_used_again_by_its_record():
    # Running work delays the change. Prompts sent at the time when it should
    # have been over are rejected and have no other attempt.
    changes = changing()
    assert changes.exclude_changing([engine()], 3.5) == []
    record = engine(stage=READ)
    assert changes.exclude_changing([record], 3.6) == [record]


def test_an_engine_that_did_not_change_is_used_as_it_is():
    late = 3.0 + stagechanges.RECORD_LAG_S
    changes = changing()
    assert changes.exclude_changing([engine()], late) == [engine()]
    changes.forget(late)
    assert changes.exclude_changing([engine()], 0.0) == [engine()]


def test_a_restarted_engine_is_another_one():
    again = attrs.evolve(engine(), born_ms=2)
    assert changing().exclude_changing([again], 1.0) == [again]

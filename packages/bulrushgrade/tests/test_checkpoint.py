"""Tests of the assembly and scheduling of checkpoints."""

import random

from bulrushgrade import checkpoint
from bulrushgrade import publication

HOSTS = [f"10.0.0.{n}:8080" for n in range(9)]
RETENTION_S = 3600.0


def _whole(first_offset, *, next_offset=None):
    return checkpoint.Collected(
        first_offset=first_offset,
        snapshot=publication.Snapshot(
            next_offset=first_offset if next_offset is None else next_offset,
            digest="",
            states=(),
        ),
    )


def _due(schedule, now, *, next_offset=20, earliest=0, hosts=HOSTS):
    return schedule.find_due_reason(
        now=now,
        hosts=hosts,
        next_offset=next_offset,
        earliest_offset=earliest,
    )


def _schedules(now=0.0):
    return [
        checkpoint.Schedule(address=host, retention_s=RETENTION_S, now=now)
        for host in HOSTS
    ]


def test_collector_joins_reordered_and_duplicate_parts():
    states = tuple(publication.ServiceState(service=f"s{n}") for n in range(10))
    digests = map(publication.digest_state, states)
    snapshot = publication.Snapshot(
        next_offset=7,
        digest=publication.digest_states(digests),
        states=states,
    )
    bodies = checkpoint.serialize_checkpoint(
        snapshot, checkpoint_id="c", part_bytes=100
    )
    parts = [publication.parse_message(body).unwrap() for body in bodies]
    assert len(parts) > 3
    random.Random(1).shuffle(parts)
    collector = checkpoint.Collector()
    found = [
        collector.add(part, offset=offset)
        for offset, part in enumerate([parts[0], *parts])
    ]
    assert found[:-1] == [None] * len(parts)
    assert found[-1] == checkpoint.Collected(first_offset=0, snapshot=snapshot)
    assert checkpoint.check_snapshot(found[-1].snapshot).unwrap() == snapshot


def test_incomplete_checkpoints_are_bounded():
    collector = checkpoint.Collector()

    def add(name, number):
        return collector.add(
            publication.Checkpoint(
                checkpoint_id=name,
                part=number,
                parts=2,
                next_offset=1,
                digest="",
                states=(),
            ),
            offset=0,
        )

    for n in range(checkpoint.MAX_INCOMPLETE + 1):
        assert add(f"c{n}", 0) is None
    assert add("c0", 1) is None
    assert add("c4", 1) is not None


def _run(schedules, *, until, dead=(), lag_s=2.0):
    """Simulates daemons that read each other's checkpoints after a lag."""
    offset, appended, arriving, now = 20, [], [], 0.0
    while now < until:
        for whole in [w for at, w in arriving if at <= now]:
            for schedule in schedules:
                schedule.observe_checkpoint(whole, now=now, fresh=True)
        arriving = [(at, w) for at, w in arriving if at > now]
        for host, schedule in zip(HOSTS, schedules, strict=True):
            reason = _due(schedule, now, next_offset=offset)
            if host in dead or reason is None:
                continue
            schedule.record_append(now)
            appended.append((now, host, reason))
            arriving.append((now + lag_s, _whole(offset)))
            offset += 1
        now += 1.0
    return appended


def test_one_daemon_appends_per_third_of_retention():
    appended = _run(_schedules(), until=2.5 * RETENTION_S)
    assert [reason for _, _, reason in appended] == [
        "no checkpoint is known",
        *["the last checkpoint is old"] * 7,
    ]
    times = [at for at, _, _ in appended]
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert min(gaps) > RETENTION_S / 3
    assert max(gaps) < RETENTION_S / 3 + 10
    assert len({host for _, host, _ in appended}) > 3


def test_next_in_order_replaces_dead_daemon():
    # The daemons first in order are dead but still in the host list. If none
    # took over, the last checkpoint would be trimmed and daemons that start
    # later would never become ready. Two turns of 5 s follow the 15 s startup
    # grace period.
    order = sorted(HOSTS, key=lambda h: checkpoint.find_turn(h, HOSTS, -1))
    appended = _run(_schedules(), until=60.0, dead=order[:2])
    assert [(at, host) for at, host, _ in appended] == [(25.0, order[2])]


def test_daemon_that_cannot_read_its_checkpoint_limits_appends():
    appended = _run(_schedules(), until=600.0, lag_s=1e9)
    for host in HOSTS:
        times = [at for at, found, _ in appended if found == host]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert min(gaps) >= checkpoint.MIN_APPEND_INTERVAL_S


def test_restarted_daemon_takes_checkpoint_age_from_peer():
    schedule = checkpoint.Schedule(
        address=HOSTS[0], retention_s=RETENTION_S, now=0.0
    )
    peer = checkpoint.Schedule(
        address=HOSTS[1], retention_s=RETENTION_S, now=-100.0
    )
    peer.observe_checkpoint(_whole(5), now=-98.0, fresh=True)
    schedule.observe_checkpoint(_whole(4), now=0.0, fresh=False)
    assert schedule.report_age(1.0) is None
    assert _due(schedule, 1.0) is None
    schedule.observe_peer_age(peer.report_age(2.0), now=2.0)
    assert schedule.report_age(3.0) == publication.CheckpointAge(
        first_offset=5, next_offset=5, age_s=101.0
    )
    old = publication.CheckpointAge(first_offset=4, next_offset=4, age_s=9e9)
    schedule.observe_peer_age(old, now=4.0)
    assert _due(schedule, 1000.0) is None
    assert _due(schedule, 1200.0) is None  # Its turn may come later.
    assert _due(schedule, 1250.0) == "the last checkpoint is old"


def test_unknown_age_counts_as_old_after_full_restart():
    schedules = _schedules()
    for schedule in schedules:
        schedule.observe_checkpoint(_whole(5), now=0.0, fresh=False)
    appended = _run(schedules, until=300.0)
    assert [(at, reason) for at, _, reason in appended] == [
        (checkpoint.STARTUP_GRACE_S, "the last checkpoint may be old")
    ]


def test_trimmed_checkpoint_and_many_records_are_due():
    # A checkpoint with `next_offset` 4 is unusable once record 4 is trimmed,
    # although its parts, from offset 6 on, are still in the log.
    for options, reason in (
        ({"earliest": 5}, "the log has trimmed what the checkpoint needs"),
        ({"earliest": 4}, None),
        ({"next_offset": 1005}, "many records since the last checkpoint"),
        ({"next_offset": 9}, None),
    ):
        schedule = checkpoint.Schedule(
            address="a", retention_s=RETENTION_S, now=0.0
        )
        whole = _whole(6, next_offset=4)
        schedule.observe_checkpoint(whole, now=0.0, fresh=True)
        assert _due(schedule, 1.0, hosts=["a"], **options) == reason

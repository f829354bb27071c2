"""Tests of the queues of one service."""

from bulrushgrade import lane
from bulrushgrade import work


def _item(name, start, *, engine_s=1.0, which=lane.LaneName.SHORT, number=0):
    return lane.QueuedWork(
        work=work.Work(request_id=name, service="s", deadline=99.0),
        engine_s=engine_s,
        prefill_work_s=0.0,
        latest_start=start,
        lane=which,
        number=number,
    )


def test_head_is_the_one_that_has_to_start_first():
    queue = lane.Lane()
    for number, start in enumerate((5.0, 3.0, 3.0)):
        queue.add(_item(f"r{number}", start, number=number))
    assert queue.head().work.request_id == "r1"
    queue.remove(queue.head())
    assert queue.head().work.request_id == "r2"
    assert queue.engine_s == 2.0


def test_ahead_counts_only_what_goes_first():
    queue = lane.Lane()
    for number in range(10):
        queue.add(_item(f"r{number}", float(number), number=number))
    assert queue.work_ahead_s(4.0) == 4.0
    assert queue.work_ahead_s(100.0) == 10.0


def test_idle_lane_accumulates_no_credit():
    queue = lane.ServiceQueue()
    queue.add(_item("a", 1.0))
    queue.lanes[lane.LaneName.SHORT].used_s = 50.0
    queue.add(_item("b", 1.0, which=lane.LaneName.LONG))
    assert queue.lanes[lane.LaneName.LONG].used_s == 50.0


def test_long_prefill_has_its_own_lane():
    assert lane.lane_for(0.1) is lane.LaneName.SHORT
    assert lane.lane_for(2.0) is lane.LaneName.LONG

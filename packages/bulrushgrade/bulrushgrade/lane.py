"""Bounded queues: earliest deadline first, long and short work apart.

Load: long readings and short chats together. Harm: in one queue a chat waits
for seconds of reading, or a stream of chats with near deadlines starves a
reading for good. Each service has two lanes that take turns by the engine
seconds they used, and within a lane the work that has to start first goes
first.
"""

import enum

import attrs
import sortedcontainers

from bulrushgrade import work

LONG_PREFILL_S = 0.4
"""Engine seconds of reading from which work is long: about what a chat's
time to first token can bear to wait for."""


class LaneName(enum.StrEnum):
    """The lanes of a service."""

    SHORT = "short"
    LONG = "long"


@attrs.frozen(kw_only=True, eq=False)
class QueuedWork:
    """Work that waits at this host.

    Attributes:
        work: The work.
        engine_s: Its price in engine seconds.
        prefill_work_s: Those of them that read its prompt.
        latest_start: When it has to be placed to be in time.
        lane: The lane that it waits in.
        number: Grows with each arrival; breaks ties in favour of the first.
        not_before: When it may be placed first, for a retry.
        avoid: Endpoints that failed it.
        attempt: Attempts so far that may have run; 0 for fresh work.
        rejections: Attempts so far that endpoints did not start.
        tokens_done: Tokens of the answer that the caller already has.
    """

    work: work.Work
    engine_s: float
    prefill_work_s: float
    latest_start: float
    lane: LaneName
    number: int = 0
    not_before: float = 0.0
    avoid: frozenset[str] = frozenset()
    attempt: int = 0
    rejections: int = 0
    tokens_done: int = 0


class Lane:
    """QueuedWork work in order of its latest start."""

    def __init__(self):
        self._items = sortedcontainers.SortedList(
            key=lambda item: (item.latest_start, item.number)
        )
        self._engine_s = 0.0
        self.used_s = 0.0

    def __len__(self) -> int:
        return len(self._items)

    @property
    def engine_s(self) -> float:
        """Engine seconds of all that waits."""
        return self._engine_s

    def add(self, item: QueuedWork) -> None:
        """Queues an item."""
        self._items.add(item)
        self._engine_s += item.engine_s

    def head(self) -> QueuedWork | None:
        """Returns the item that has to start first."""
        return self._items[0] if self._items else None

    def remove(self, item: QueuedWork) -> None:
        """Takes an item out."""
        self._items.remove(item)
        self._engine_s -= item.engine_s
        if not self._items:
            self._engine_s = 0.0

    def work_ahead_s(self, latest_start: float) -> float:
        """Returns the engine seconds that would go before a new item.

        Taken as the item's rank times the mean price, so that an admission
        costs a search of the order and not a walk through the queue.
        """
        if not self._items:
            return 0.0
        rank = self._items.bisect_key_left((latest_start, 0))
        return self._engine_s * rank / len(self._items)


class ServiceQueue:
    """The lanes of one service."""

    def __init__(self):
        self.lanes = {name: Lane() for name in LaneName}

    def __len__(self) -> int:
        return sum(len(lane) for lane in self.lanes.values())

    def add(self, item: QueuedWork) -> None:
        """Queues an item; a lane that was empty is owed nothing."""
        lane = self.lanes[item.lane]
        if not len(lane):
            others = [o.used_s for o in self.lanes.values() if len(o)]
            lane.used_s = max([lane.used_s, *others[:1]])
        lane.add(item)

    def lanes_by_usage(self) -> list[Lane]:
        """Returns the lanes with work, the one that used least first."""
        waiting = [lane for lane in self.lanes.values() if len(lane)]
        return sorted(waiting, key=lambda lane: lane.used_s)

    def work_ahead_s(self, item: QueuedWork) -> float:
        """Returns engine seconds that go before a new item of a lane.

        The other lane takes turns, so as much of it as this lane's own part
        goes before too, but never more than it has.
        """
        own = self.lanes[item.lane].work_ahead_s(item.latest_start)
        other = sum(
            lane.engine_s
            for name, lane in self.lanes.items()
            if name is not item.lane
        )
        return own + min(other, own)


def lane_for(prefill_work_s: float) -> LaneName:
    """Returns the lane for work with this much reading, in engine seconds."""
    return LaneName.LONG if prefill_work_s >= LONG_PREFILL_S else LaneName.SHORT

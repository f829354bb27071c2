"""Bounded queues ordered by deadline, with a separate lane for long prefills.

In a single queue a chat would wait for seconds of long prefills, or a stream of
chats with near deadlines would starve a long prefill for good. So each service
has two lanes, of which the one with fewer used engine seconds goes first, and
within a lane the work with the earliest latest start goes first.
"""

import enum

import attrs
import sortedcontainers

from bulrushgrade import work

LONG_PREFILL_S = 0.4
"""Prefill time in engine seconds from which work is long: about as long as a
chat can wait for its first token."""


class LaneName(enum.StrEnum):
    """The lanes of a service."""

    SHORT = "short"
    LONG = "long"


@attrs.frozen(kw_only=True, eq=False)
class QueuedWork:
    """Work that is queued at this host.

    Attributes:
        work: The work.
        engine_s: Its price in engine seconds.
        prefill_work_s: The part of `engine_s` that is prefill.
        latest_start: Time by which it must be placed to be in time.
        lane: Its lane.
        number: Number of its arrival; the earlier of two with the same latest
            start goes first.
        not_before: Earliest time of its placement, for a retry.
        avoid: Addresses of endpoints at which it failed.
        attempt: Number of earlier attempts that may have run.
        rejections: Number of earlier attempts that an endpoint did not start.
        tokens_done: Number of tokens that the caller already received.
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
    """Queued work, ordered by latest start."""

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
        """Total engine seconds of the queued work."""
        return self._engine_s

    def add(self, item: QueuedWork) -> None:
        """Adds an item."""
        self._items.add(item)
        self._engine_s += item.engine_s

    def head(self) -> QueuedWork | None:
        """Returns the item with the earliest latest start, or None."""
        return self._items[0] if self._items else None

    def remove(self, item: QueuedWork) -> None:
        """Removes an item."""
        self._items.remove(item)
        self._engine_s -= item.engine_s
        if not self._items:
            self._engine_s = 0.0

    def work_ahead_s(self, latest_start: float) -> float:
        """Returns the engine seconds queued before a new item.

        Estimated as the item's rank times the mean price, so that an admission
        costs a binary search and not a pass over the queue.
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
        """Adds an item; a lane that was empty starts without credit."""
        lane = self.lanes[item.lane]
        if not len(lane):
            others = [o.used_s for o in self.lanes.values() if len(o)]
            lane.used_s = max([lane.used_s, *others[:1]])
        lane.add(item)

    def lanes_by_usage(self) -> list[Lane]:
        """Returns the non-empty lanes, the least used one first."""
        waiting = [lane for lane in self.lanes.values() if len(lane)]
        return sorted(waiting, key=lambda lane: lane.used_s)

    def work_ahead_s(self, item: QueuedWork) -> float:
        """Returns the engine seconds that go before a new item.

        The lanes alternate, so as much work of the other lane goes first as of
        the item's own lane, up to all that the other lane holds.
        """
        own = self.lanes[item.lane].work_ahead_s(item.latest_start)
        other = sum(
            lane.engine_s
            for name, lane in self.lanes.items()
            if name is not item.lane
        )
        return own + min(other, own)


def lane_for(prefill_work_s: float) -> LaneName:
    """Returns the lane for work with this prefill time in engine seconds."""
    return LaneName.LONG if prefill_work_s >= LONG_PREFILL_S else LaneName.SHORT

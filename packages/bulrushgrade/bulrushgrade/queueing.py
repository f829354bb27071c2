"""The queues of one pool of endpoints, and whose turn it is.

Services take turns by their guaranteed shares, lanes by the time they used,
and within a lane the work that has to start first goes first.
"""

from collections.abc import Callable
from collections.abc import Iterator

import attrs

from bulrushgrade import admission
from bulrushgrade import lane
from bulrushgrade import share


@attrs.define(kw_only=True)
class PoolQueue:
    """What waits for one pool of endpoints.

    Attributes:
        shares: Whose turn it is among the services.
        drain: Engine seconds that this host gets placed in a second.
    """

    shares: share.Shares = attrs.field(factory=share.Shares)
    drain: admission.DrainRate = attrs.field(factory=admission.DrainRate)
    _queues: dict[str, lane.ServiceQueue] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def waiting(self, service: str) -> int:
        """Returns how many requests of a service wait."""
        queue = self._queues.get(service)
        return len(queue) if queue else 0

    def active(self) -> list[str]:
        """Returns the services that have work waiting."""
        return [name for name, queue in self._queues.items() if len(queue)]

    def add(self, item: lane.Waiting) -> None:
        """Queues an item."""
        service = item.work.service
        queue = self._queues.setdefault(service, lane.ServiceQueue())
        if not len(queue):
            self.shares.activate(service, self.active())
        queue.add(item)

    def remove(self, item: lane.Waiting) -> None:
        """Takes an item out."""
        self._queues[item.work.service].lanes[item.lane].remove(item)

    def charge(self, item: lane.Waiting, now: float) -> None:
        """Books an item that was placed."""
        service = item.work.service
        self.shares.charge(service, item.engine_s)
        queue = self._queues.setdefault(service, lane.ServiceQueue())
        queue.lanes[item.lane].used_s += item.engine_s
        self.drain.add(item.engine_s, now)

    def heads(self) -> Iterator[lane.Waiting]:
        """Yields the next item of each lane, in the order of turns."""
        for service in self.shares.order(self.active()):
            for waiting in self._queues[service].turns():
                head = waiting.head()
                if head is not None:
                    yield head

    def take_expired(self, now: float) -> Iterator[lane.Waiting]:
        """Removes and yields the items that can't be in time any more."""
        for queue in self._queues.values():
            for waiting in queue.lanes.values():
                while (head := waiting.head()) and head.latest_start < now:
                    waiting.remove(head)
                    yield head

    def wait_s(
        self,
        item: lane.Waiting,
        *,
        floor: float,
        now: float,
    ) -> float:
        """Predicts how long an item would wait if it were queued now.

        Args:
            item: The item, not queued yet.
            floor: Drain rate to assume while none was observed.
            now: The present time.
        """
        service = item.work.service
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return 0.0
        ahead = queue.ahead_s(item)
        shares = {n: self.shares.share(n) for n in self.active()}
        part = self.shares.share(service) / sum(shares.values())
        rate = self.drain.rate(floor, now) * part
        return ahead / max(rate, 1e-3)

    def dump(self) -> dict[str, dict[str, float]]:
        """Returns the queues' lengths for a person."""
        return {
            service: {name.value: len(q.lanes[name]) for name in q.lanes}
            for service, q in self._queues.items()
        }


Try = Callable[[lane.Waiting], bool]


def dispatch(queue: PoolQueue, attempt: Try, now: float) -> None:
    """Places what can be placed, in the order of turns.

    A head that finds no room doesn't hold up the other lanes: a reading that
    waits for an engine with free memory must not stop chats that need none.
    Each round either places one item or ends, and costs one attempt a lane.

    Args:
        queue: The pool's queue.
        attempt: Tries to place an item; True when it left the queue.
        now: The present time.
    """
    placed = True
    while placed:
        placed = False
        for head in list(queue.heads()):
            if head.not_before > now:
                continue
            if attempt(head):
                placed = True
                break

"""The queues of one pool of endpoints, and the order in which they are served.

Services are served by their guaranteed shares, the lanes of a service by the
engine time that they used, and the items of a lane by their latest start.
"""

from collections.abc import Callable
from collections.abc import Iterator

import attrs

from bulrushgrade import admission
from bulrushgrade import lane
from bulrushgrade import share

MAX_CHARGE_WEIGHT = 0.95
"""Weight of prefill or decode time in a charge when it alone is scarce. The
other keeps a small weight: a flood of it would cost nothing until it became
scarce too."""

SCARCITY_SMOOTHING = 0.02
"""Smoothing factor of one blocked placement: some tens of them, a few seconds
at full load, decide whether prefill or decode is scarce."""

MAX_LEAD_S = 10.0
"""Virtual seconds by which a service may get ahead of one whose head is
blocked. A smaller lead leaves engines idle at full load, as it holds back small
work that doesn't need what the large work waits for; a larger one lets small
work take the large work's share at four times the load."""


LatestStart = Callable[[lane.QueuedWork], float]
"""Returns the time by which an item must be placed to be in time."""


@attrs.define(kw_only=True)
class PoolQueue:
    """The queued work of one pool of endpoints.

    Attributes:
        shares: Fair shares of the services.
    """

    shares: share.Shares = attrs.field(factory=share.Shares)
    _drain_rates: dict[str, admission.DrainRate] = attrs.field(factory=dict)
    _prefill_weight: float = 0.5
    _queues: dict[str, lane.ServiceQueue] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def waiting(self, service: str) -> int:
        """Returns the number of queued requests of a service."""
        queue = self._queues.get(service)
        return len(queue) if queue else 0

    def active(self) -> list[str]:
        """Returns the services with queued work."""
        return [name for name, queue in self._queues.items() if len(queue)]

    def add(self, item: lane.QueuedWork, now: float) -> None:
        """Adds an item to its lane."""
        service = item.work.service
        queue = self._queues.setdefault(service, lane.ServiceQueue())
        if not len(queue):
            self.shares.activate(service, self.active())
        queue.add(item)
        self._drain_rate(service).note(busy=True, now=now)

    def remove(
        self, item: lane.QueuedWork, now: float, *, placed_s: float = 0.0
    ) -> None:
        """Removes an item; `placed_s` is its price if it was placed."""
        service = item.work.service
        queue = self._queues[service]
        queue.lanes[item.lane].remove(item)
        self._drain_rate(service).note(
            busy=bool(len(queue)), now=now, placed_s=placed_s
        )

    def place(self, item: lane.QueuedWork, now: float) -> None:
        """Removes an item that was placed, and charges its service and lane."""
        service = item.work.service
        self.remove(item, now, placed_s=item.engine_s)
        part = self._prefill_weight
        decode_work_s = item.engine_s - item.prefill_work_s
        charge = 2.0 * (
            part * item.prefill_work_s + (1.0 - part) * decode_work_s
        )
        self.shares.charge(service, charge)
        self._queues[service].lanes[item.lane].used_s += charge

    def observe_blocked(self, *, prefill_bound: bool) -> None:
        """Notes whether prefill or decode capacity was lacking.

        Services are charged for what is scarce. While prefill engines are full
        and decode engines idle, decode time costs nobody anything: charging it
        in full held chats back without need, and a fleet at its capacity
        refused a third of them.
        """
        target = MAX_CHARGE_WEIGHT if prefill_bound else 1.0 - MAX_CHARGE_WEIGHT
        self._prefill_weight += SCARCITY_SMOOTHING * (
            target - self._prefill_weight
        )

    def heads(self) -> Iterator[lane.QueuedWork]:
        """Yields the head of each lane, in the order of service."""
        for service in self.shares.order(self.active()):
            for waiting in self._queues[service].lanes_by_usage():
                head = waiting.head()
                if head is not None:
                    yield head

    def take_expired(
        self, now: float, latest_start: LatestStart
    ) -> Iterator[lane.QueuedWork]:
        """Removes and yields the items that can't be in time any more.

        Args:
            now: The current time.
            latest_start: Returns an item's latest start by the current load.
        """
        for queue in self._queues.values():
            for waiting in queue.lanes.values():
                while (head := waiting.head()) and latest_start(head) < now:
                    self.remove(head, now)
                    yield head

    def wait_s(
        self,
        item: lane.QueuedWork,
        *,
        engines: float,
        now: float,
    ) -> float:
        """Predicts the waiting time of an item if it were queued now.

        Args:
            item: The item, not queued yet.
            engines: This host's part of the pool, in engines.
            now: The current time.
        """
        service = item.work.service
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return 0.0
        ahead = queue.work_ahead_s(item)
        total = sum(self.shares.share(name) for name in self.active())
        expected = engines * self.shares.share(service) / total
        rate = self._drain_rate(service).rate(expected, now)
        return ahead / max(rate, 1e-3)

    def _drain_rate(self, service: str) -> admission.DrainRate:
        return self._drain_rates.setdefault(service, admission.DrainRate())

    def dump(self) -> dict[str, dict[str, float]]:
        """Returns the queues' lengths, for diagnosis."""
        return {
            service: {name.value: len(q.lanes[name]) for name in q.lanes}
            for service, q in self._queues.items()
        }


TryPlace = Callable[[lane.QueuedWork], bool]


def dispatch(queue: PoolQueue, attempt: TryPlace, now: float) -> None:
    """Places queued items in the order of service until none can be placed.

    A blocked head doesn't hold up the other lanes at once: a prefill that waits
    for an engine must not stop chats that need no such engine. But a service
    that overtakes one further behind its share may get ahead of it by
    `MAX_LEAD_S` only. Without that bound small requests take every gap before
    it is large enough for a long prefill, and the service with long prefills
    gets a fifth of its guaranteed share.

    Each round either places one item or ends, and costs one attempt per lane.

    Args:
        queue: The pool's queue.
        attempt: Tries to place an item; returns True if it left the queue.
        now: The current time.
    """
    placed = True
    while placed:
        placed = False
        blocked: float | None = None
        for head in list(queue.heads()):
            if head.not_before > now:
                continue
            used = queue.shares.virtual_time_s(head.work.service)
            if blocked is not None and used > blocked + MAX_LEAD_S:
                break
            if attempt(head):
                placed = True
                break
            blocked = used if blocked is None else blocked

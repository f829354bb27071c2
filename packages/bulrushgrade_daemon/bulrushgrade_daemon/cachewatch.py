"""Follows what each engine keeps in its cache.

Engines number the changes of their caches and keep the newest of them. A
change is seen late or, now and then, never; a belief that is wrong costs a
prompt that is read again, no more.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result

from bulrushgrade import directory as directory_module
from bulrushgrade import enginecache
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import task

PERIOD_S = 0.5
"""Between two reads of an engine. A part is used again after ten seconds or
so; half a second of not knowing costs one in twenty the better place."""

FAILED_PERIOD_S = 2.0
"""Between two reads of an engine that does not answer."""


@attrs.frozen(kw_only=True)
class CacheChanges:
    """What changed in an engine's cache.

    Attributes:
        epoch: Another one after each start of the engine.
        end: Where the next changes begin.
        lost: Whether changes before these are missing.
        changes: In their order.
    """

    epoch: str
    end: int
    lost: bool
    changes: tuple[enginecache.CacheChange, ...]


ReadChanges = Callable[
    [directory_module.Registration, int],
    Awaitable[Result[CacheChanges, outbound.CallFailed]],
]


@attrs.define(kw_only=True)
class _Place:
    """How far one engine's changes have been read.

    Attributes:
        epoch: The epoch of the last read; None before the first.
        next: Where the next changes begin.
        due: When to read next.
        reading: Whether a read is under way.
    """

    epoch: str | None = None
    next: int = 0
    due: float = 0.0
    reading: bool = False


class CacheWatch:
    """Reads every engine's changes at a pace."""

    name = "cachewatch"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        engines: Callable[[], list[directory_module.Registration]],
        read: ReadChanges,
        apply: Callable[..., None],
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            engines: Returns the engines that this daemon is to follow.
            read: Returns an engine's changes from a number on.
            apply: Takes an engine, its changes, and `reset`.
            on_broken: Called with the reason where an invariant is broken.
        """
        self._timers = timers
        self._engines = engines
        self._read = read
        self._apply = apply
        self._on_broken = on_broken
        self._places: dict[tuple[str, int], _Place] = {}
        self._failures = 0
        self._reads = 0
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Reads and failed reads since the start."""
        return {"reads": self._reads, "failed": self._failures}

    async def start(self) -> None:
        """Begins to read."""
        self._tick = self._timers.every(PERIOD_S / 2, self._read_due)

    async def stop(self) -> None:
        """Begins no more reads."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns how many engines are followed."""
        return {"engines": len(self._places), **self.counts}

    def _read_due(self) -> None:
        engines = {engine.incarnation: engine for engine in self._engines()}
        for incarnation in list(self._places):
            if incarnation not in engines:
                del self._places[incarnation]
        for incarnation, engine in engines.items():
            place = self._places.setdefault(incarnation, _Place())
            if place.reading or self._timers.now < place.due:
                continue
            place.reading = True
            task.spawn(
                self._read_one(engine, place),
                name=self.name,
                on_broken=self._on_broken,
            )

    async def _read_one(
        self, engine: directory_module.Registration, place: _Place
    ) -> None:
        self._reads += 1
        read = await self._read(engine, place.next)
        place.reading = False

        if isinstance(read, Failure):
            self._failures += 1
            place.due = self._timers.now + FAILED_PERIOD_S
            return
        found = read.unwrap()
        place.due = self._timers.now + PERIOD_S
        restarted = place.epoch not in (None, found.epoch)
        if restarted and place.next > 0:
            # The numbers of the former life say nothing here.
            place.epoch, place.next, place.due = found.epoch, 0, 0.0
            self._apply(engine, (), reset=True)
            return
        # What was dropped before the first read was seen by whoever followed
        # the engine before.
        reset = found.lost and place.epoch is not None
        place.epoch, place.next = found.epoch, found.end
        self._apply(engine, found.changes, reset=reset)

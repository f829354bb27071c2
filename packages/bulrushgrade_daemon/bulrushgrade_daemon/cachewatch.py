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

READ_PERIOD_S = 0.5
"""Between two reads of an engine. A part is used again after ten seconds or
so; half a second of not knowing costs one in twenty the better place."""

RETRY_PERIOD_S = 2.0
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
class _ReadPosition:
    """How far one engine's changes have been read.

    Attributes:
        epoch: The epoch of the last read; None before the first.
        next: Where the next changes begin.
        next_read_at: When to read next.
        is_reading: Whether a read is under way.
    """

    epoch: str | None = None
    next: int = 0
    next_read_at: float = 0.0
    is_reading: bool = False


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
        self._positions: dict[tuple[str, int], _ReadPosition] = {}
        self._failures = 0
        self._reads = 0
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Reads and failed reads since the start."""
        return {"reads": self._reads, "failed": self._failures}

    async def start(self) -> None:
        """Begins to read."""
        self._tick = self._timers.every(READ_PERIOD_S / 2, self._read_due)

    async def stop(self) -> None:
        """Begins no more reads."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Takes no messages."""

    def dump(self) -> dict[str, Any]:
        """Returns how many engines are followed."""
        return {"engines": len(self._positions), **self.counts}

    def _read_due(self) -> None:
        engines = {engine.incarnation: engine for engine in self._engines()}
        for incarnation in list(self._positions):
            if incarnation not in engines:
                del self._positions[incarnation]
        for incarnation, engine in engines.items():
            position = self._positions.setdefault(incarnation, _ReadPosition())
            if position.is_reading or self._timers.now < position.next_read_at:
                continue
            position.is_reading = True
            task.spawn(
                self._read_one(engine, position),
                name=self.name,
                on_broken=self._on_broken,
            )

    async def _read_one(
        self, engine: directory_module.Registration, position: _ReadPosition
    ) -> None:
        self._reads += 1
        read = await self._read(engine, position.next)
        position.is_reading = False

        if isinstance(read, Failure):
            self._failures += 1
            position.next_read_at = self._timers.now + RETRY_PERIOD_S
            return
        found = read.unwrap()
        position.next_read_at = self._timers.now + READ_PERIOD_S
        restarted = position.epoch not in (None, found.epoch)
        if restarted and position.next > 0:
            # The numbers of the former life say nothing here.
            position.epoch, position.next, position.next_read_at = (
                found.epoch,
                0,
                0.0,
            )
            self._apply(engine, (), reset=True)
            return
        # What was dropped before the first read was seen by whoever followed
        # the engine before.
        reset = found.lost and position.epoch is not None
        position.epoch, position.next = found.epoch, found.end
        self._apply(engine, found.changes, reset=reset)

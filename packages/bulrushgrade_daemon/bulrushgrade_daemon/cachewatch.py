"""Follows the contents of engines' caches.

Engines number the changes of their caches and keep the newest of them. A
change is read late and occasionally missed; the only cost of an outdated view
is a prompt that is prefilled again.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result

from bulrushgrade import directory as directory_module
from bulrushgrade import enginecache
from bulrushgrade_daemon import endpointsignals
from bulrushgrade_daemon import outbound
from bulrushgrade_daemon import task

READ_PERIOD_S = 0.5
"""Interval between reads of an engine. A part is reused after about ten
seconds; with a delay of half a second, one prompt in twenty is placed without
knowing of it and misses the better engine."""

LIMITED_READ_PERIOD_S = 2.0
"""The same for an engine that limits the requests it accepts, as reads are
among them."""

RETRY_PERIOD_S = 2.0
"""Interval between reads of an engine that does not answer."""


@attrs.frozen(kw_only=True)
class CacheChanges:
    """A range of the changes of an engine's cache.

    Attributes:
        epoch: Identifies the engine's run; changes with each start.
        end: Number of the first change after these.
        lost: Whether changes before these are missing.
        changes: The changes in their order.
    """

    epoch: str
    end: int
    lost: bool
    changes: tuple[enginecache.CacheChange, ...]


ReadChanges = Callable[
    [
        directory_module.Registration,
        int,
        endpointsignals.CallGuard,
        outbound.OpenClient,
    ],
    Awaitable[Result[CacheChanges, outbound.CallFailed]],
]


@attrs.define(kw_only=True)
class _ReadPosition:
    """How far one engine's changes have been read.

    Attributes:
        epoch: The epoch of the last read; None before the first.
        next: Number of the first change to read.
        next_read_at: Time of the next read.
        is_reading: Whether a read is in progress.
    """

    epoch: str | None = None
    next: int = 0
    next_read_at: float = 0.0
    is_reading: bool = False


class CacheWatch:
    """Reads every followed engine's changes periodically."""

    name = "cachewatch"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        engines: Callable[[], list[directory_module.Registration]],
        read: ReadChanges,
        open_client: outbound.OpenClient,
        apply: Callable[..., None],
        needs_permit: Callable[[directory_module.Registration], bool],
        may_read: Callable[[directory_module.Registration], Awaitable[bool]],
        guard: Callable[
            [directory_module.Registration], endpointsignals.CallGuard
        ],
        on_broken: Callable[[str], None],
    ):
        """Creates the service.

        Args:
            timers: The timer service.
            engines: Returns the engines that this daemon follows.
            read: Returns an engine's changes from a number on.
            open_client: Opens a connection to an engine.
            apply: Applies an engine's changes; `reset` tells it to drop the
                earlier ones first.
            needs_permit: Returns whether not all calls to an engine may be
                made.
            may_read: Returns whether such an engine has room for a read.
            guard: Returns the checks of calls to an engine.
            on_broken: Called with the reason if an invariant is violated.
        """
        self._timers = timers
        self._engines = engines
        self._read = read
        self._open_client = open_client
        self._apply = apply
        self._needs_permit = needs_permit
        self._may_read = may_read
        self._guard = guard
        self._on_broken = on_broken
        self._positions: dict[tuple[str, int], _ReadPosition] = {}
        self._failures = 0
        self._reads = 0
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Number of reads and of failed reads."""
        return {"reads": self._reads, "failed": self._failures}

    async def start(self) -> None:
        """Starts reading."""
        self._tick = self._timers.every(READ_PERIOD_S / 2, self._read_due)

    async def stop(self) -> None:
        """Starts no more reads."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Ignores messages."""

    def dump(self) -> dict[str, Any]:
        """Returns the number of followed engines and the counts."""
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
        period_s = READ_PERIOD_S
        if self._needs_permit(engine):
            period_s = LIMITED_READ_PERIOD_S
            if not await self._may_read(engine):
                position.is_reading = False
                position.next_read_at = self._timers.now + period_s
                return
        self._reads += 1
        read = await self._read(
            engine, position.next, self._guard(engine), self._open_client
        )
        position.is_reading = False

        if isinstance(read, Failure):
            self._failures += 1
            position.next_read_at = self._timers.now + RETRY_PERIOD_S
            return
        found = read.unwrap()
        position.next_read_at = self._timers.now + period_s
        restarted = position.epoch not in (None, found.epoch)
        if restarted and position.next > 0:
            # The numbers of the previous run are not valid in this one.
            position.epoch, position.next, position.next_read_at = (
                found.epoch,
                0,
                0.0,
            )
            self._apply(engine, (), reset=True)
            return
        # Changes that the engine dropped before the first read were read and
        # advertised by the daemon that followed it until now.
        reset = found.lost and position.epoch is not None
        position.epoch, position.next = found.epoch, found.end
        self._apply(engine, found.changes, reset=reset)

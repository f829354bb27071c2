"""Shares with peers how fast engines are, and applies what all measure."""

import collections
from typing import Any

from bulrushgrade import enginespeeds
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import enginework
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import sumexchange

TABLE = "speeds"
"""Name of the table in messages."""

MAX_ENGINES = 16
"""Maximum number of engines in a message, about 400 bytes."""

ADVERTISE_S = 1.0
"""Minimum time between two messages with the same engine: a tenth of the time
in which samples decay."""

TTL_S = 60.0
"""Seconds for which an engine's sums are used. With 1,800 engines and a message
each half second, all are advertised within 57 seconds. Sums of hosts that are
gone are dropped much sooner."""

UPDATE_S, UPDATED_ENGINES_PER_S = 1.0, 300.0
"""Minimum interval between updates of the factors, and number of engines per
second of the interval. With 1,800 engines an update takes tens of milliseconds
and all sums arrive within a minute, so that updates can be 6 s apart."""


def make_speeds(
    features: gatewaysettings.Features,
) -> enginespeeds.EngineSpeeds | None:
    """Returns the speeds of a host that has just started, None if disabled."""
    if not features.shares_endpoint_speeds:
        return None
    return enginespeeds.make_speeds(ttl_s=TTL_S)


class SpeedSharing:
    """Advertises this host's samples and updates the factors of engines."""

    name = "speedsharing"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        work: enginework.EngineWork,
        sums: sumexchange.SumExchange,
        log: decisionlog.DecisionLog,
    ):
        """Creates the service; it does nothing if speeds aren't shared.

        Args:
            timers: The timer service.
            work: Has the samples and uses the factors.
            sums: Exchanges the sums of samples with peers.
            log: Gets a line for each speed that changes by much.
        """
        self._timers = timers
        self._work = work
        self._speeds = work.speeds
        self._log = log
        self._counts: collections.Counter[str] = collections.Counter()
        self._tick: Any = None
        self._next_update_at = 0.0
        if self._speeds is not None:
            sums.add(
                TABLE,
                table=self._speeds.table,
                read_own=self._read_own,
                max_entries=MAX_ENGINES,
                interval_s=ADVERTISE_S,
            )

    @property
    def counts(self) -> dict[str, int]:
        """Changes of factors, and changes to uneven and even speeds."""
        return dict(self._counts)

    @property
    def known_engines(self) -> int:
        """Number of engines whose speed is known from all hosts' samples."""
        return self._speeds.fleet.known if self._speeds else 0

    @property
    def uneven_services(self) -> int:
        """Number of services whose engines differ by much in speed."""
        return len(self._speeds.fleet.uneven) if self._speeds else 0

    async def start(self) -> None:
        """Starts the updates."""
        if self._speeds is not None:
            self._tick = self._timers.every(UPDATE_S, self._update_if_due)

    async def stop(self) -> None:
        """Stops the updates."""
        if self._tick is not None:
            self._tick.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the state of each service's engines."""
        if self._speeds is None:
            return {}
        return {"services": self._speeds.fleet.dump(), **self._counts}

    def update(self) -> None:
        """Updates the factors and logs what has changed by much."""
        for change in self._work.update_speeds():
            match change:
                case enginespeeds.SpreadChange():
                    kind = "uneven" if change.is_uneven else "even"
                    self._counts[kind] += 1
                    self._log.note(
                        f"engine_speeds_{kind}",
                        service=change.service,
                        spread=round(change.spread, 2),
                        engines=change.engines,
                    )
                case enginespeeds.SpeedChange():
                    self._counts["changed"] += 1
                    self._log.note(
                        "engine_speed_changed",
                        engine=change.incarnation[0],
                        measured=change.kind.name.lower(),
                        factor=round(change.factor, 2),
                        before=round(change.before, 2),
                        samples=round(change.samples, 1),
                    )

    def _update_if_due(self) -> None:
        now = self._timers.now
        if now < self._next_update_at:
            return
        self.update()
        interval_s = self.known_engines / UPDATED_ENGINES_PER_S
        # The next call of the timer may come a little early.
        self._next_update_at = now + interval_s - UPDATE_S / 2

    def _read_own(self, now: float) -> dict[str, tuple[float, ...]]:
        self._speeds.own.decay(now)
        return self._speeds.own.vectors()

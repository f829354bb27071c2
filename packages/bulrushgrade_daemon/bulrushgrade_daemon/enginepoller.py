"""Polls the load reports of the engines."""

from typing import Any

from returns.result import Success

from bulrushgrade import membership
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import placementservice
from bulrushgrade_daemon import task

# Load reports lag in any case. Each poll costs an engine one request per
# daemon, so a shorter period adds load for little benefit.
PERIOD_S = 0.25


class EnginePoller:
    """Polls the load report of each engine on the host list."""

    name = "fleet"
    requires = ("timer", "engines", "placing")

    def __init__(
        self, *, timers: Any, engines: engine.EngineClient, kernel: Any
    ):
        self._timers = timers
        self._engines = engines
        self._kernel = kernel
        self._addresses: tuple[str, ...] = ()
        self._reading: set[str] = set()
        self._missed: dict[str, int] = {}
        self._subscription: Any = None

    async def start(self) -> None:
        """Starts to poll."""
        self._subscription = self._timers.every(PERIOD_S, self._poll)

    async def stop(self) -> None:
        """Stops polling."""
        self._subscription.cancel()

    def receive(self, message: Any) -> None:
        """Handles new host lists."""
        if isinstance(message, membership.HostList):
            self._addresses = tuple(
                h.address
                for h in message.hosts
                if h.kind is membership.Kind.ENGINE
            )
            self._missed = {a: self._missed.get(a, 0) for a in self._addresses}
            self._poll()

    def dump(self) -> dict[str, Any]:
        """Returns the number of consecutive failed polls of each engine."""
        return {"missed_in_a_row": self._missed}

    def _poll(self) -> None:
        for address in self._addresses:
            if address not in self._reading:
                self._reading.add(address)
                task.spawn(
                    self._read(address),
                    name=f"fleet {address}",
                    on_broken=self._kernel.fail,
                )

    async def _read(self, address: str) -> None:
        # Reads of one engine never overlap; they would pile up at an engine
        # that is slow to respond.
        report = await self._engines.read_load(address)
        self._reading.discard(address)
        load = report.unwrap() if isinstance(report, Success) else None
        missed = 0 if load is not None else self._missed.get(address, 0) + 1
        if address in self._missed:
            self._missed[address] = missed
        seen = placementservice.PollResult(address=address, load=load)
        for name in ("placing", "authority"):
            self._kernel.send(name, seen)

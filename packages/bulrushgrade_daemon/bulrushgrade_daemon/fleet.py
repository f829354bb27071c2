"""Reads the engines' reports again and again."""

from typing import Any

from returns.result import Success

from bulrushgrade import membership
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import placementservice
from bulrushgrade_daemon import task

# Reports lag anyway; reading them more often costs each engine a request a
# daemon and brings little.
PERIOD_S = 0.25


class Fleet:
    """Polls each engine on the host list for its report."""

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
        """Begins to poll."""
        self._subscription = self._timers.every(PERIOD_S, self._poll)

    async def stop(self) -> None:
        """Polls no more."""
        self._subscription.cancel()

    def receive(self, message: Any) -> None:
        """Takes lists of hosts."""
        if isinstance(message, membership.HostList):
            self._addresses = tuple(
                h.address
                for h in message.hosts
                if h.kind is membership.Kind.ENGINE
            )
            self._missed = {a: self._missed.get(a, 0) for a in self._addresses}
            self._poll()

    def dump(self) -> dict[str, Any]:
        """Returns how many reads each engine has missed in a row."""
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
        # Reads of one engine never overlap: an engine that is slow to answer
        # would otherwise collect them.
        report = await self._engines.read_load(address)
        self._reading.discard(address)
        load = report.unwrap() if isinstance(report, Success) else None
        missed = 0 if load is not None else self._missed.get(address, 0) + 1
        if address in self._missed:
            self._missed[address] = missed
        seen = placementservice.PollResult(address=address, load=load)
        for name in ("placing", "authority"):
            self._kernel.send(name, seen)

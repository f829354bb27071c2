"""A micro-kernel: named services, started and stopped in order.

Services find each other by name, own their state, and talk by typed messages
that the kernel delivers in a later turn. The kernel has no reactor of its
own: its owner hands in the function that runs a callback in a later turn.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Protocol

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors


class Service(Protocol):
    """What the kernel asks of a service."""

    name: str
    requires: tuple[str, ...]

    async def start(self) -> None:
        """Opens what the service owns."""

    async def stop(self) -> None:
        """Finishes its work and closes what it owns."""

    def receive(self, message: Any) -> None:
        """Takes a message that another service sent."""

    def dump(self) -> dict[str, Any]:
        """Returns the service's state for a person, ready for JSON."""


def sort_services(
    services: Iterable[Service],
) -> Result[
    tuple[Service, ...], errors.UnknownService | errors.DependencyCycle
]:
    """Orders services so that each comes after those that it requires.

    Args:
        services: The services in order of registration, which breaks ties.

    Returns:
        The ordered services, or the name or cycle that rules an order out.
    """
    waiting = {service.name: service for service in services}
    for service in waiting.values():
        for name in service.requires:
            if name not in waiting:
                return Failure(errors.UnknownService(name=name))
    ordered: list[Service] = []
    while waiting:
        ready = [
            service
            for service in waiting.values()
            if not any(name in waiting for name in service.requires)
        ]
        if not ready:
            names = tuple(sorted(waiting))
            return Failure(errors.DependencyCycle(names=names))
        for service in ready:
            ordered.append(waiting.pop(service.name))
    return Success(tuple(ordered))


class Kernel:
    """Registers services, runs their life cycle and passes messages."""

    def __init__(
        self,
        *,
        call_soon: Callable[[Callable[[], None]], Any],
        on_broken: Callable[[str], None],
    ):
        """Makes an empty kernel.

        Args:
            call_soon: Runs a callback in a later turn.
            on_broken: Called once with the reason when a service breaks an
                invariant; must stop the process.
        """
        self._call_soon = call_soon
        self._on_broken = on_broken
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._broken: str | None = None

    @property
    def broken(self) -> str | None:
        """Why the process has to stop, or None while all is well."""
        return self._broken

    def register(self, service: Service) -> None:
        """Adds a service; names are unique."""
        if service.name in self._services:
            raise errors.BrokenInvariantError(
                f"two services are named {service.name}"
            )
        self._services[service.name] = service

    def find(self, name: str) -> Any:
        """Returns the service of this name.

        Raises:
            errors.BrokenInvariantError: There is none.
        """
        if name not in self._services:
            raise errors.BrokenInvariantError(f"no service is named {name}")
        return self._services[name]

    def send(self, name: str, message: Any) -> None:
        """Delivers a message to a service in a later turn."""
        service = self.find(name)
        self._call_soon(lambda: self._deliver(service, message))

    async def start(self) -> None:
        """Starts every service after those that it requires."""
        order = sort_services(self._services.values())
        if isinstance(order, Failure):
            raise errors.BrokenInvariantError(str(order.failure()))
        for service in order.unwrap():
            await service.start()
            self._started.append(service)

    async def stop(self) -> None:
        """Stops the started services, the last started first."""
        while self._started:
            await self._started.pop().stop()

    def dump(self) -> dict[str, dict[str, Any]]:
        """Returns each service's state by name."""
        return {name: s.dump() for name, s in self._services.items()}

    def fail(self, reason: str) -> None:
        """Records a broken invariant and has the process stopped, once."""
        if self._broken is None:
            self._broken = reason
            self._on_broken(reason)

    def _deliver(self, service: Service, message: Any) -> None:
        # An exception out of a service means that its state may be half
        # changed. Going on would decide from it; a restarted process rebuilds
        # its state from the log and its peers, so stopping is the safe side.
        try:
            service.receive(message)
        except Exception as error:
            self.fail(f"{service.name}: {type(error).__name__}: {error}")

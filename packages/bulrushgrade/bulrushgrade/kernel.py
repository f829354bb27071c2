"""A microkernel that starts, stops and connects named services.

Services look each other up by name, own their state and exchange typed
messages, which the kernel delivers in a later event-loop turn. The kernel has
no reactor of its own: its owner passes in the function that schedules a
callback.
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
    """The interface that a service must implement."""

    name: str
    requires: tuple[str, ...]

    async def start(self) -> None:
        """Starts the service and acquires its resources."""

    async def stop(self) -> None:
        """Finishes pending work and releases the service's resources."""

    def receive(self, message: Any) -> None:
        """Handles a message that another service sent."""

    def dump(self) -> dict[str, Any]:
        """Returns the service's state for diagnostics, as JSON values."""


def sort_services(
    services: Iterable[Service],
) -> Result[
    tuple[Service, ...], errors.UnknownService | errors.DependencyCycle
]:
    """Sorts services so that each comes after those that it requires.

    Args:
        services: The services in order of registration, which breaks ties.

    Returns:
        The sorted services, or the unknown name or the dependency cycle.
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
    """Registers services, manages their life cycle, delivers messages."""

    def __init__(
        self,
        *,
        call_soon: Callable[[Callable[[], None]], Any],
        on_broken: Callable[[str], None],
    ):
        """Creates a kernel without services.

        Args:
            call_soon: Schedules a callback in a later event-loop turn.
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
        """Why the process must stop, or None if no invariant is broken."""
        return self._broken

    def register(self, service: Service) -> None:
        """Registers a service under its name, which must be unique."""
        if service.name in self._services:
            raise errors.BrokenInvariantError(
                f"a service named {service.name} is already registered"
            )
        self._services[service.name] = service

    def find(self, name: str) -> Any:
        """Returns the service of this name.

        Raises:
            errors.BrokenInvariantError: No such service is registered.
        """
        if name not in self._services:
            raise errors.BrokenInvariantError(
                f"service {name} is not registered"
            )
        return self._services[name]

    def send(self, name: str, message: Any) -> None:
        """Schedules delivery of a message in a later event-loop turn."""
        service = self.find(name)
        self._call_soon(lambda: self._deliver(service, message))

    async def start(self) -> None:
        """Starts all services, each after those that it requires."""
        order = sort_services(self._services.values())
        if isinstance(order, Failure):
            raise errors.BrokenInvariantError(str(order.failure()))
        for service in order.unwrap():
            await service.start()
            self._started.append(service)

    async def stop(self) -> None:
        """Stops the started services in reverse order."""
        while self._started:
            await self._started.pop().stop()

    def dump(self) -> dict[str, dict[str, Any]]:
        """Returns each service's state by name."""
        return {name: s.dump() for name, s in self._services.items()}

    def fail(self, reason: str) -> None:
        """Records a broken invariant and reports it to the owner, once."""
        if self._broken is None:
            self._broken = reason
            self._on_broken(reason)

    def _deliver(self, service: Service, message: Any) -> None:
        # After an exception the service's state may be inconsistent, and later
        # decisions would depend on it. A restarted process rebuilds its state
        # from the log and its peers, so stopping is safer.
        try:
            service.receive(message)
        except Exception as error:
            self.fail(f"{service.name}: {type(error).__name__}: {error}")

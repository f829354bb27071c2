"""Which service a request goes to: a versioned configuration of routes.

A configuration is always replaced as a whole. Requests look up the route
whose host name is theirs and whose path prefix is the longest that fits.
"""

import enum
import random

import attrs

from bulrushgrade import capacityplan
from bulrushgrade import workspaces as workspaces_module

LONG_PROMPT_FRACTION = 1 / 400
"""Of an engine's memory, from which on a prompt or its shared parts count as
long: worth keeping in one place, and worth a query before they are placed. A
few hundred of them fill a memory, so that parts push each other out; reading
one takes longer than the query."""

LOWEST_URGENCY = 9
"""The largest urgency that engines know: that of work which lets all other go
first."""

MIN_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
"""How long callers of a stream wait for the next event before they leave: two
seconds, four targets or eight gaps, whichever is longest. The users' callers
do so; an event that comes later reaches nobody."""


class RequestKind(enum.Enum):
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Target:
    """A service that a route may send requests to.

    Attributes:
        service: The service's name.
        weight: Its share of the route's requests, relative to the others.
    """

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """One route.

    Attributes:
        name: For logs.
        hostname: The host name that requests carry, in small letters.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        resumable: Whether a broken stream may go on at another endpoint.
        timeout_s: The longest that a caller is kept waiting.
        target_s: Answers (streams: first events) after this are late.
        gap_s: The longest pause between events that is not late, or None.
        priority: 0 is the most urgent.
        max_attempts: Endpoints that one request may be run on.
        by_prompt: Whether requests tell which parts their prompt has.
        targets: The services, at least one.
        is_public: Whether requests need no key.
    """

    name: str
    hostname: str
    path_prefix: str
    kind: RequestKind
    resumable: bool
    timeout_s: float
    target_s: float
    gap_s: float | None
    priority: int
    max_attempts: int
    by_prompt: bool
    targets: tuple[Target, ...]
    is_public: bool = False

    @property
    def urgency(self) -> int:
        """The priority as engines know it; the least is for late work."""
        return min(self.priority, LOWEST_URGENCY - 1)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def patience_s(self) -> float:
        """How long a caller waits for the first or the next event."""
        if self.kind is not RequestKind.STREAM:
            return self.timeout_s
        return max(
            MIN_PATIENCE_S,
            PATIENCE_TARGETS * self.target_s,
            PATIENCE_GAPS * (self.gap_s or 0.0),
        )


@attrs.frozen(kw_only=True)
class EngineTraits:
    """What all engines of a service have in common.

    Attributes:
        slots: Requests that one engine runs at a time.
        memory_tokens: Tokens that fit an engine's memory.
        token_bytes: Bytes of KV cache a token.
        link_bytes_per_s: What an engine's link carries.
        kv_handle_ttl_s: How long an engine keeps a prompt read for another.
        stage_change_s: How long a change of role takes.
        event_tokens: Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bytes_per_s: float
    kv_handle_ttl_s: float
    stage_change_s: float
    event_tokens: int = 1

    @property
    def long_tokens(self) -> float:
        """Tokens from which on a prompt or a part counts as long."""
        return LONG_PROMPT_FRACTION * self.memory_tokens


@attrs.frozen(kw_only=True)
class Service:
    """A service with its endpoints' common limits.

    Attributes:
        name: The name that routes and endpoints carry.
        max_connections: Connections that one endpoint takes from all callers.
        engine: What its engines have in common; None for a plain service.
        scaling: How many engines may be ordered, or None.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: capacityplan.Scaling | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        max_header_bytes: All headers of a request together.
        max_body_bytes: The largest body.
        header_timeout_s: How long a caller may take to send its headers.
        idle_timeout_s: When a connection without a request is closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen(kw_only=True)
class Configuration:
    """Everything that operators publish, as one version.

    Attributes:
        version: Only ever grows.
        routes: The routes.
        services: The services by name.
        limits: What callers may do.
        keys: Whose requests are taken; None where no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    keys: workspaces_module.KeyRing | None = None


@attrs.frozen(kw_only=True)
class ServiceLimits:
    """What all routes to a service together allow.

    Attributes:
        max_target_s: The longest time in which an answer is not late.
        min_gap_s: The shortest of the longest pauses between events that
            are not late; None where no route names one.
        lowest_urgency: The urgency of the least urgent route.
    """

    max_target_s: float = 0.0
    min_gap_s: float | None = None
    lowest_urgency: int = 0


NO_LIMITS = ServiceLimits()


class RouteTable:
    """Finds the route of a request, in time independent of the routes."""

    def __init__(self, *, configuration: Configuration):
        self._configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        self._limits: dict[str, ServiceLimits] = {}
        # By route and workspace priority.
        self._by_priority: dict[tuple[str, int], Route] = {}
        for route in configuration.routes:
            prefixes = self._by_host.setdefault(route.hostname, {})
            prefixes[route.path_prefix] = route
            self._note_limits(route)

    @property
    def configuration(self) -> Configuration:
        """The configuration that the table was made from."""
        return self._configuration

    def limits(self, service: str) -> ServiceLimits:
        """Returns what all routes to a service together allow."""
        return self._limits.get(service, NO_LIMITS)

    def find(self, hostname: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            hostname: As the request carries it, a port included or not.
            path: Without the query.
        """
        prefixes = self._by_host.get(_normalize(hostname))
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def with_workspace_priority(
        self, route: Route, workspace: workspaces_module.Workspace | None
    ) -> Route:
        """Returns a route with the priority that a workspace's requests have.

        Args:
            route: One of this table.
            workspace: Whose request it is, or None.
        """
        if workspace is None or workspace.priority in (None, route.priority):
            return route
        key = route.name, workspace.priority
        prioritized = self._by_priority.get(key)
        if prioritized is None:
            prioritized = attrs.evolve(route, priority=workspace.priority)
            self._by_priority[key] = prioritized
        return prioritized

    def _note_limits(self, route: Route) -> None:
        keys = self._configuration.keys
        lowest_priority = (
            min(keys.lowest_priority, LOWEST_URGENCY - 1) if keys else 0
        )
        for target in route.targets:
            known = self.limits(target.service)
            gaps_s = [g for g in (known.min_gap_s, route.gap_s) if g]
            self._limits[target.service] = ServiceLimits(
                max_target_s=max(known.max_target_s, route.target_s),
                min_gap_s=min(gaps_s, default=None),
                lowest_urgency=max(
                    known.lowest_urgency, route.urgency, lowest_priority
                ),
            )


def _normalize(hostname: str) -> str:
    return hostname.rsplit(":", 1)[0].lower() if hostname else ""


def pick_service(route: Route, rng: random.Random) -> str:
    """Returns the service that a request goes to, by the route's weights."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights=weights)[0].service

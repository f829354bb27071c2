"""Routes requests to services by a versioned configuration.

A configuration is always replaced as a whole. A request uses the route that
has its host name and the longest matching path prefix.
"""

import enum
import random

import attrs

from bulrushgrade import capacityplan
from bulrushgrade import workspaces as workspaces_module

LONG_PROMPT_FRACTION = 1 / 400
"""Fraction of an engine's memory from which on a prompt or its shared parts
count as long. Long parts are worth keeping on one engine and worth a query to
other hosts before placement: a few hundred of them fill the memory and evict
each other, and prefilling one takes longer than the query."""

LOWEST_URGENCY = 9
"""The largest urgency number that engines support, used for work that yields to
all other work."""

MIN_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
"""How long callers of a stream wait for the next event before they disconnect:
two seconds, four latency targets or eight gaps, whichever is longest. The
users' callers behave so; a later event reaches nobody."""


class RequestKind(enum.Enum):
    """How a request with an unknown outcome may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class Target:
    """A service that a route may send requests to.

    Attributes:
        service: The service's name.
        weight: Its relative share of the route's requests.
    """

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """The rules for requests with one host name and path prefix.

    Attributes:
        name: The name used in logs.
        hostname: The host name of requests, in lower case.
        path_prefix: A prefix that begins and ends with a slash.
        kind: How requests may be repeated.
        resumable: Whether a broken stream may continue at another endpoint.
        timeout_s: The longest time that a caller is kept waiting.
        target_s: Time after which an answer, or a stream's first event, is
            late.
        gap_s: The longest pause between events that is not late, or None.
        priority: The priority of requests; 0 is the most urgent.
        max_attempts: The number of endpoints that one request may run on.
        by_prompt: Whether requests state the parts of their prompt.
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
        """The priority for engines, whose lowest is reserved for late work."""
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
    """Properties that all engines of a service share.

    Attributes:
        slots: Requests that one engine runs concurrently.
        memory_tokens: Tokens that fit into an engine's KV cache.
        token_bytes: KV cache bytes per token.
        link_bytes_per_s: Bandwidth of an engine's network link.
        kv_handle_ttl_s: How long an engine keeps the KV cache of a prompt that
            it prefilled for another engine.
        stage_change_s: Duration of a change between prefill and decode.
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
        """The number of tokens from which on a prompt or part is long."""
        return LONG_PROMPT_FRACTION * self.memory_tokens


@attrs.frozen(kw_only=True)
class Service:
    """A service with the limits that its endpoints share.

    Attributes:
        name: The name used by routes and endpoints.
        max_connections: Connections that one endpoint accepts from all callers.
        engine: Shared properties of its engines; None for a plain service.
        scaling: Limits on ordering engines, or None.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: capacityplan.Scaling | None = None


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Limits on the size and timing of callers' requests.

    Attributes:
        max_header_bytes: Maximum total size of a request's headers.
        max_body_bytes: Maximum size of a body.
        header_timeout_s: How long a caller may take to send its headers.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen(kw_only=True)
class Configuration:
    """One version of everything that operators publish.

    Attributes:
        version: A version number that only increases.
        routes: The routes.
        services: The services by name.
        limits: Limits on callers.
        keys: The known API keys; None if no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    keys: workspaces_module.KeyRing | None = None


@attrs.frozen(kw_only=True)
class ServiceLimits:
    """Limits combined over all routes to a service.

    Attributes:
        max_target_s: The longest latency target.
        max_timeout_s: The longest time that a caller is kept waiting.
        min_gap_s: The shortest allowed pause between events; None if no route
            limits it.
        lowest_urgency: The urgency of the least urgent route or workspace.
    """

    max_target_s: float = 0.0
    max_timeout_s: float = 0.0
    min_gap_s: float | None = None
    lowest_urgency: int = 0


NO_LIMITS = ServiceLimits()


class RouteTable:
    """Finds the route of a request, in time independent of their number."""

    def __init__(self, *, configuration: Configuration):
        self._configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        self._limits: dict[str, ServiceLimits] = {}
        # Routes with a workspace's priority, by route name and priority.
        self._by_priority: dict[tuple[str, int], Route] = {}
        for route in configuration.routes:
            prefixes = self._by_host.setdefault(route.hostname, {})
            prefixes[route.path_prefix] = route
            self._note_limits(route)

    @property
    def configuration(self) -> Configuration:
        """The configuration that the table was built from."""
        return self._configuration

    def limits(self, service: str) -> ServiceLimits:
        """Returns the limits combined over all routes to a service."""
        return self._limits.get(service, NO_LIMITS)

    def find(self, hostname: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            hostname: The host name of the request, with or without a port.
            path: The path without the query.
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
        """Returns a route with the priority of a workspace.

        Args:
            route: A route of this table.
            workspace: The workspace that the request belongs to, or None.
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
                max_timeout_s=max(known.max_timeout_s, route.timeout_s),
                min_gap_s=min(gaps_s, default=None),
                lowest_urgency=max(
                    known.lowest_urgency, route.urgency, lowest_priority
                ),
            )


def _normalize(hostname: str) -> str:
    return hostname.rsplit(":", 1)[0].lower() if hostname else ""


def pick_service(route: Route, rng: random.Random) -> str:
    """Returns a random service of a route, by the weights of its targets."""
    if len(route.targets) == 1:
        return route.targets[0].service
    weights = [target.weight for target in route.targets]
    return rng.choices(route.targets, weights=weights)[0].service

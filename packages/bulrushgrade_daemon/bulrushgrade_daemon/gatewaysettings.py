"""Settings of a gateway, validated before any address is opened."""

from collections.abc import Mapping
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade_daemon import keys
from bulrushgrade_daemon import settings


def _key(kind: keys.Kind, default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, metadata={"kind": kind})


@attrs.frozen(kw_only=True)
class Host:
    """Section ``[host]``: the identity of this host.

    Attributes:
        name: The host's name in logs, unique among the hosts.
        zone: Its availability zone.
    """

    name: str = _key(keys.LABEL)
    zone: str = _key(keys.LABEL)


@attrs.frozen(kw_only=True)
class Listen:
    """Section ``[listen]``: the addresses that the gateway opens.

    Attributes:
        callers: Serves callers' requests.
        ready: Serves the readiness checks of the load balancer.
        admin: Serves metrics and dumps to operators.
        peers: Receives datagrams from other gateways.
        relay: Accepts connections that other gateways can't open to endpoints
            themselves, or None to accept none.
    """

    callers: keys.Address = _key(keys.address(0))
    ready: keys.Address = _key(keys.address(0))
    admin: keys.Address = _key(keys.address(0))
    peers: keys.Address = _key(keys.address(0))
    relay: keys.Address | None = _key(keys.address(0), None)


@attrs.frozen(kw_only=True)
class Store:
    """Section ``[store]``: the platform's store.

    Attributes:
        address: The store's address.
    """

    address: keys.Address = _key(keys.address(1))


@attrs.frozen(kw_only=True)
class Bounds:
    """Section ``[bounds]``: limits that the operator relies on.

    Attributes:
        drain_s: Maximum time for which an endpoint may still get work after
            it was seen to leave.
        configuration_s: Maximum time until all hosts use a new
            configuration.
        contact_s: Maximum time until a host that was disconnected, or has
            just started, knows what all others know.
        stop_s: Time from SIGTERM to SIGKILL.
        retry_ratio: Retries per request to a service, over all hosts.
        retry_extra: Additional retries per window, over all hosts.
        retry_window_s: The length of that window.
        order_lease_s: Minimum time between the orders of two hosts to the
            same engine.
    """

    drain_s: float = _key(keys.number(float, 0.05, 3600, "seconds"))
    configuration_s: float = _key(keys.number(float, 0.05, 3600, "seconds"))
    stop_s: float = _key(keys.number(float, 0.1, 3600, "seconds"))
    contact_s: float = _key(keys.number(float, 0.1, 3600, "seconds"), 3.0)
    retry_ratio: float = _key(keys.number(float, 0, 100, "retries a request"))
    retry_extra: float = _key(keys.number(float, 0, 1e6, "retries"))
    retry_window_s: float = _key(keys.number(float, 0.1, 3600, "seconds"))
    order_lease_s: float = _key(keys.number(float, 0.1, 3600, "seconds"))


REPORT_USAGE = "usage_reporting"
ORDER_CAPACITY = "autoscale"


def _parse_names(text: str) -> frozenset[str]:
    return frozenset(name.strip() for name in text.split(",") if name.strip())


_NAMES = keys.Kind(
    expected="names separated by commas; those not known are left out",
    parse=_parse_names,
)


@attrs.frozen(kw_only=True)
class Operator:
    """Section ``[operator]``: tasks that one host at a time does.

    Attributes:
        address: The address of the operator's API, or None to make no calls.
        tasks: The names of the enabled tasks.
        usage_window_s: The length of the windows in which usage is counted.
        usage_late_s: Time after a window's end until its report is due.
    """

    address: keys.Address | None = _key(keys.address(1), None)
    tasks: frozenset[str] = _key(_NAMES, frozenset())
    usage_window_s: float = _key(
        keys.number(float, 0.1, 86400, "seconds"), 60.0
    )
    usage_late_s: float = _key(keys.number(float, 0.1, 86400, "seconds"), 60.0)

    @property
    def reports_usage(self) -> bool:
        """Whether usage is reported."""
        return self.address is not None and REPORT_USAGE in self.tasks

    @property
    def orders_capacity(self) -> bool:
        """Whether engines are ordered from the operator."""
        return self.address is not None and ORDER_CAPACITY in self.tasks


RESERVED_DESCRIPTORS = 500
"""Descriptors for files, and for connections to the store, peers, operators and
engines beside those of callers' requests."""


@attrs.frozen(kw_only=True)
class Limits:
    """Section ``[limits]``: what the host may use.

    Attributes:
        descriptors: Maximum number of file descriptors of the process.
    """

    descriptors: int = _key(keys.number(int, 600, 10**7, "descriptors"), 4096)

    @property
    def max_caller_connections(self) -> int:
        """Maximum number of connections from callers.

        The request of each may need a connection to an endpoint too.
        """
        return (self.descriptors - RESERVED_DESCRIPTORS) // 2


ENDPOINT_SPEEDS = "endpoint_speeds"
DEMAND_CAPACITY = "demand_capacity"
WORKSPACE_SHARES = "workspace_shares"
EARLY_RETRIES = "early_retries"
STORE_PROBES = "store_probes"
ZONE_LOCALITY = "zone_locality"

FEATURES = frozenset(
    {
        ENDPOINT_SPEEDS,
        DEMAND_CAPACITY,
        WORKSPACE_SHARES,
        EARLY_RETRIES,
        STORE_PROBES,
        ZONE_LOCALITY,
    }
)
"""The names of all features."""

FeatureAliases = Mapping[str, frozenset[str]]
"""Features by the names that a platform has for what calls for them."""


@attrs.frozen(kw_only=True)
class Features:
    """Section ``[features]``: decisions that a deployment switches on.

    Attributes:
        enabled: The names of the enabled features.
    """

    enabled: frozenset[str] = _key(_NAMES, frozenset())

    @property
    def shares_endpoint_speeds(self) -> bool:
        """Whether hosts share the speeds of engines that they measure."""
        return ENDPOINT_SPEEDS in self.enabled

    @property
    def orders_by_demand(self) -> bool:
        """Whether engines are ordered for the load and not for the price."""
        return DEMAND_CAPACITY in self.enabled

    @property
    def shares_among_workspaces(self) -> bool:
        """Whether workspaces have fair shares of a saturated service."""
        return WORKSPACE_SHARES in self.enabled

    @property
    def retries_early(self) -> bool:
        """Whether attempts at silent endpoints are given up early."""
        return EARLY_RETRIES in self.enabled

    @property
    def limits_store_probes(self) -> bool:
        """Whether hosts share the reads of a store that fails."""
        return STORE_PROBES in self.enabled

    @property
    def limits_zone_traffic(self) -> bool:
        """Whether prompts are planned for little traffic between zones."""
        return ZONE_LOCALITY in self.enabled


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """The settings of one gateway, with one attribute per section."""

    host: Host
    listen: Listen
    store: Store
    bounds: Bounds
    operator: Operator
    limits: Limits
    features: Features


_SECTIONS = {
    "host": Host,
    "listen": Listen,
    "store": Store,
    "bounds": Bounds,
    "operator": Operator,
    "limits": Limits,
    "features": Features,
}


def parse_settings(
    text: str, *, file: str, aliases: FeatureAliases | None = None
) -> Result[GatewaySettings, settings.Errors]:
    """Returns the settings in the text of an INI file.

    Args:
        text: The text.
        file: The file name that errors state.
        aliases: The platform's names for features.

    Returns:
        The settings, or all errors in them.
    """
    parsed = settings.parse_sections(text, file=file, sections=_SECTIONS)
    if isinstance(parsed, Failure):
        return parsed
    sections = parsed.unwrap()
    found = _resolve_features(sections["features"].enabled, aliases or {})
    sections["features"] = Features(enabled=found)
    return Success(GatewaySettings(**sections))


def read_settings(
    path: str, aliases: FeatureAliases | None = None
) -> Result[GatewaySettings, settings.Errors]:
    """Returns the settings in a file, or all errors in it."""
    return settings.read_text(path).bind(
        lambda text: parse_settings(text, file=path, aliases=aliases)
    )


def _resolve_features(
    names: frozenset[str], aliases: FeatureAliases
) -> frozenset[str]:
    """Returns the features that names and their aliases stand for."""
    called_for = [aliases.get(name, frozenset()) for name in names]
    return FEATURES.intersection(names.union(*called_for))

"""Settings of a gateway, read from INI and checked before anything opens."""

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
    """Section ``[host]``: which host this is.

    Attributes:
        name: A name for logs, unique among the hosts.
        zone: Its availability zone.
    """

    name: str = _key(keys.LABEL)
    zone: str = _key(keys.LABEL)


@attrs.frozen(kw_only=True)
class Listen:
    """Section ``[listen]``: the addresses that the gateway opens.

    Attributes:
        callers: For callers.
        ready: Where the balancer asks whether to send callers.
        admin: For operators: metrics and dumps.
        peers: For datagrams of other gateways.
    """

    callers: keys.Address = _key(keys.address(0))
    ready: keys.Address = _key(keys.address(0))
    admin: keys.Address = _key(keys.address(0))
    peers: keys.Address = _key(keys.address(0))


@attrs.frozen(kw_only=True)
class Store:
    """Section ``[store]``: the platform's store.

    Attributes:
        address: Where it is.
    """

    address: keys.Address = _key(keys.address(1))


@attrs.frozen(kw_only=True)
class Bounds:
    """Section ``[bounds]``: what operators were promised.

    Attributes:
        drain_s: After an endpoint is seen to leave, how long it may still
            get work.
        configuration_s: How soon a configuration is in force everywhere.
        contact_s: How soon a host that was cut off, or has just started, is
            to know what all others know.
        stop_s: What a process has from SIGTERM to SIGKILL.
        retry_ratio: Retries for each request to a service, over all hosts.
        retry_extra: Retries a window beside, over all hosts.
        retry_window_s: The length of that window.
        order_lease_s: How far apart the orders of two hosts to an engine
            have to be.
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


def _parse_tasks(text: str) -> frozenset[str]:
    return frozenset(name.strip() for name in text.split(",") if name.strip())


_TASKS = keys.Kind(
    expected="names separated by commas; those not known are left out",
    parse=_parse_tasks,
)


@attrs.frozen(kw_only=True)
class Operator:
    """Section ``[operator]``: what one host at a time does for the operator.

    Attributes:
        address: Where calls go; None where none are wanted.
        tasks: What is done.
        usage_window_s: The length of the windows by which usage is counted.
        usage_late_s: How long after a window's end its report is due.
    """

    address: keys.Address | None = _key(keys.address(1), None)
    tasks: frozenset[str] = _key(_TASKS, frozenset())
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
        """Whether engines are ordered."""
        return self.address is not None and ORDER_CAPACITY in self.tasks


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """The settings of one gateway, a section an attribute."""

    host: Host
    listen: Listen
    store: Store
    bounds: Bounds
    operator: Operator


_SECTIONS = {
    "host": Host,
    "listen": Listen,
    "store": Store,
    "bounds": Bounds,
    "operator": Operator,
}


def parse_settings(
    text: str, *, file: str
) -> Result[GatewaySettings, settings.Errors]:
    """Returns the settings in the text of an INI file.

    Args:
        text: The text.
        file: What errors name as the file.

    Returns:
        The settings, or every error in them.
    """
    parsed = settings.parse_sections(text, file=file, sections=_SECTIONS)
    if isinstance(parsed, Failure):
        return parsed
    return Success(GatewaySettings(**parsed.unwrap()))


def read_settings(path: str) -> Result[GatewaySettings, settings.Errors]:
    """Returns the settings in a file, or every error in it."""
    return settings.read_text(path).bind(
        lambda text: parse_settings(text, file=path)
    )

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
    retry_ratio: float = _key(keys.number(float, 0, 100, "retries a request"))
    retry_extra: float = _key(keys.number(float, 0, 1e6, "retries"))
    retry_window_s: float = _key(keys.number(float, 0.1, 3600, "seconds"))
    order_lease_s: float = _key(keys.number(float, 0.1, 3600, "seconds"))


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """The settings of one gateway, a section an attribute."""

    host: Host
    listen: Listen
    store: Store
    bounds: Bounds


_SECTIONS = {"host": Host, "listen": Listen, "store": Store, "bounds": Bounds}


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

"""Kinds of value that a key of the settings takes, with their texts."""

from collections.abc import Callable
import ipaddress
import re
from typing import Any

import attrs

LOG_LEVELS = ("debug", "info", "warning", "error")

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]*")


@attrs.frozen(kw_only=True)
class Address:
    """An IP address with a port.

    Attributes:
        host: The IP number, version 4 or 6, without brackets.
        port: The TCP port; 0 has the system choose a free one.
    """

    host: str
    port: int

    @property
    def is_unspecified(self) -> bool:
        """Whether it stands for all addresses of the host."""
        return ipaddress.ip_address(self.host).is_unspecified

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class Kind:
    """How a key's text becomes a value.

    Attributes:
        expected: What a right text looks like, for a person.
        parse: Returns the value of a text; raises ValueError on a wrong one.
    """

    expected: str
    parse: Callable[[str], Any]


def parse_address(text: str, *, min_port: int = 1) -> Address:
    """Returns the address in a text such as ``10.0.0.7:8080``.

    Host names are turned away: a lookup would make a daemon's start depend
    on one more service, and could give another answer on every start.

    Args:
        text: IP:PORT, an IP of version 6 in brackets.
        min_port: The smallest port that is allowed.

    Raises:
        ValueError: The text is no such address.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueError("no port")
    if host.startswith("[") and host.endswith("]"):
        host = str(ipaddress.IPv6Address(host[1:-1]))
    else:
        host = str(ipaddress.IPv4Address(host))
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError("the port is not a number")
    port = int(port_text)
    if not min_port <= port <= 65535:
        raise ValueError("the port is out of range")
    return Address(host=host, port=port)


def address(min_port: int) -> Kind:
    """Returns the kind of an address whose port is at least this."""
    return Kind(
        expected=f"IP:PORT with an IP number and a port {min_port} to 65535",
        parse=lambda text: parse_address(text, min_port=min_port),
    )


def number(kind: type, low: float, high: float, unit: str) -> Kind:
    """Returns the kind of a number within bounds, both included.

    Args:
        kind: ``int`` or ``float``.
        low: The least value.
        high: The greatest value.
        unit: What the number counts, for a person.
    """

    def parse(text: str) -> Any:
        value = kind(text)
        # A comparison with NaN is false, so NaN ends up here as well.
        if not low <= value <= high:
            raise ValueError("out of range")
        return value

    noun = "a whole number" if kind is int else "a number"
    return Kind(expected=f"{noun} of {unit}, {low} to {high}", parse=parse)


def _parse_name(text: str) -> str:
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError("not a name")
    return text


def _parse_names(text: str) -> tuple[str, ...]:
    if text in ("", "none"):
        return ()
    return tuple(_parse_name(name.strip()) for name in text.split(","))


def _parse_label(text: str) -> str:
    if not text or not text.isprintable() or " " in text:
        raise ValueError("not a label")
    return text


def _parse_level(text: str) -> str:
    if text not in LOG_LEVELS:
        raise ValueError("not a level")
    return text


NAME = Kind(
    expected="a name of small letters, digits, '-' and '.'", parse=_parse_name
)
LABEL = Kind(expected="printable text without spaces", parse=_parse_label)
NAMES = Kind(expected="names separated by commas, or none", parse=_parse_names)
LEVEL = Kind(expected="one of " + ", ".join(LOG_LEVELS), parse=_parse_level)

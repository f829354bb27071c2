"""Types of values in settings files, with their parsers."""

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
        host: The IPv4 or IPv6 address, without brackets.
        port: The TCP or UDP port; 0 lets the system choose a free one.
    """

    host: str
    port: int

    @property
    def is_unspecified(self) -> bool:
        """Whether this is the wildcard address of all interfaces."""
        return ipaddress.ip_address(self.host).is_unspecified

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class Kind:
    """A type of value in a settings file.

    Attributes:
        expected: A description of valid texts, for error messages.
        parse: Returns the value of a text; raises ValueError if the text is
            invalid.
    """

    expected: str
    parse: Callable[[str], Any]


def parse_address(
    text: str, *, min_port: int = 1, may_have_scope: bool = False
) -> Address:
    """Returns the address in a text such as ``10.0.0.7:8080``.

    Host names are rejected: a lookup would make a daemon's start depend on
    one more service, and could return a different address on every start.

    Args:
        text: IP:PORT, with an IPv6 address in brackets.
        min_port: The smallest allowed port.
        may_have_scope: Whether an IPv6 address may name an interface. Only the
            host that has the interface can use such an address.

    Raises:
        ValueError: The text is not such an address.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator:
        raise ValueError("the address has no port")
    if host.startswith("[") and host.endswith("]"):
        host = parse_ip(host[1:-1], may_have_scope=may_have_scope)
        if ":" not in host:
            raise ValueError("an IPv4 address has no brackets")
    else:
        host = str(ipaddress.IPv4Address(host))
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError("the port is not a number")
    port = int(port_text)
    if not min_port <= port <= 65535:
        raise ValueError("the port is out of range")
    return Address(host=host, port=port)


def parse_ip(text: str, *, may_have_scope: bool = False) -> str:
    """Returns an IP address in its usual form.

    Args:
        text: The IPv4 or IPv6 address, without brackets.
        may_have_scope: Whether an IPv6 address may name an interface.

    Raises:
        ValueError: The text is not such an address.
    """
    found = ipaddress.ip_address(text)
    scope = getattr(found, "scope_id", None)
    if scope is not None and not may_have_scope:
        raise ValueError("the address names an interface")
    return str(found)


def address(min_port: int) -> Kind:
    """Returns the type of an address whose port has a minimum."""
    return Kind(
        expected=f"IP:PORT with an IP number and a port {min_port} to 65535",
        parse=lambda text: parse_address(
            text, min_port=min_port, may_have_scope=True
        ),
    )


def number(kind: type, low: float, high: float, unit: str) -> Kind:
    """Returns the type of a number within inclusive bounds.

    Args:
        kind: ``int`` or ``float``.
        low: The minimum.
        high: The maximum.
        unit: The unit of the number, for error messages.
    """

    def parse(text: str) -> Any:
        value = kind(text)
        # Comparisons with NaN are false, so this also rejects NaN.
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

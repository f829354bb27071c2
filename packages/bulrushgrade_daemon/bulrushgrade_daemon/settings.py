"""Settings of one daemon, read from INI and checked before it starts.

The file holds only settings of the process: its addresses, its availability
zone, the addresses of the platform's services and the limits of the process.
Settings that operators change while the system runs are in published
documents.

All errors of a file are reported at once, so that an operator can correct
them together instead of after one failed start each.
"""

from collections.abc import Mapping
import configparser
from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors
from bulrushgrade_daemon import keys


def _key(kind: keys.Kind, default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, metadata={"kind": kind})


@attrs.frozen(kw_only=True)
class Host:
    """Section ``[host]``: the identity of this host.

    Attributes:
        name: Its name in logs and dumps, unique among the entry hosts.
        zone: Its availability zone.
        region: The region of that zone.
    """

    name: str = _key(keys.NAME)
    zone: str = _key(keys.NAME)
    region: str = _key(keys.NAME)


@attrs.frozen(kw_only=True)
class Listen:
    """Section ``[listen]``: the addresses that the daemon listens on.

    Attributes:
        callers: For callers, behind the platform's load balancer.
        admin: For operators: metrics and dumps.
        peers: For other daemons; the host list must show it as ``peer``.
    """

    callers: keys.Address = _key(keys.address(0))
    admin: keys.Address = _key(keys.address(0))
    peers: keys.Address = _key(keys.address(0))


@attrs.frozen(kw_only=True)
class Platform:
    """Section ``[platform]``: the platform's services.

    Attributes:
        log: The log service.
        host_list: The host list.
        weight_store: The weight store.
        host_list_period_s: Seconds between two reads of the host list. As the
            list itself lags, more frequent reads add load and little else.
    """

    log: keys.Address = _key(keys.address(1))
    host_list: keys.Address = _key(keys.address(1))
    weight_store: keys.Address = _key(keys.address(1))
    host_list_period_s: float = _key(
        keys.number(float, 0.05, 60, "seconds"), 1.0
    )


@attrs.frozen(kw_only=True)
class Limits:
    """Section ``[limits]``: limits on what the process may use.

    Attributes:
        max_body_bytes: The largest request body; a complete inventory or
            field history is well below the default.
        max_header_bytes: The largest total size of a request's headers.
        max_open_requests: Requests open at once; bounds memory under overload.
        buffer_bytes: Bytes buffered for one caller that reads slowly, before
            the endpoint's stream is paused.
        header_timeout_s: How long a caller may take to send its headers.
        body_timeout_s: How long a caller may pause within its body.
        stall_timeout_s: How long a caller may leave a full buffer unread
            before its request is cancelled.
        idle_timeout_s: How long a caller's connection may stay open without
            a request.
        stop_grace_s: How long the platform's load balancer goes on sending
            requests after this host reports that it is not ready.
        drain_limit_s: How long a stop waits for requests in flight. It must
            exceed the longest deadline of any service, or a stop aborts
            requests.
        peer_queue_messages: Messages queued for one peer that does not read
            them; beyond that the newest are dropped. The queue is short, as
            loads would be out of date once a long one has been sent.
        peer_bytes_per_s: Bytes a second for the loads sent to all peers
            together; with more peers loads are sent less often.
    """

    max_body_bytes: int = _key(
        keys.number(int, 1024, 1 << 30, "bytes"), 8 * 1024 * 1024
    )
    max_header_bytes: int = _key(
        keys.number(int, 1024, 1 << 20, "bytes"), 16384
    )
    max_open_requests: int = _key(
        keys.number(int, 1, 100_000, "requests"), 2000
    )
    buffer_bytes: int = _key(
        keys.number(int, 4096, 1 << 26, "bytes"), 256 * 1024
    )
    header_timeout_s: float = _key(
        keys.number(float, 0.1, 300, "seconds"), 10.0
    )
    body_timeout_s: float = _key(keys.number(float, 0.1, 300, "seconds"), 30.0)
    stall_timeout_s: float = _key(
        keys.number(float, 0.1, 3600, "seconds"), 60.0
    )
    idle_timeout_s: float = _key(keys.number(float, 0.1, 3600, "seconds"), 60.0)
    stop_grace_s: float = _key(keys.number(float, 0, 600, "seconds"), 10.0)
    drain_limit_s: float = _key(keys.number(float, 0, 86400, "seconds"), 900.0)
    peer_queue_messages: int = _key(
        keys.number(int, 1, 100_000, "messages"), 100
    )
    peer_bytes_per_s: float = _key(
        keys.number(float, 100, 1e9, "bytes a second"), 65536.0
    )


@attrs.frozen(kw_only=True)
class Authority:
    """Section ``[authority]``: leases over groups of engines.

    Attributes:
        groups: The groups whose lease this host may hold; empty if none.
        lease_ttl_s: How long a renewal is valid, which the holder counts from
            the moment before it sent the append.
        lease_guard_s: Allowance for clocks that run at different rates;
            subtracted from the holder's time and added to a candidate's.
        pause_allowance_s: How long a new holder waits before its first order
            to an engine that ignores fencing numbers.
    """

    groups: tuple[str, ...] = _key(keys.NAMES, ())
    lease_ttl_s: float = _key(keys.number(float, 0.2, 600, "seconds"), 10.0)
    lease_guard_s: float = _key(keys.number(float, 0.01, 60, "seconds"), 1.0)
    pause_allowance_s: float = _key(keys.number(float, 0, 600, "seconds"), 10.0)


@attrs.frozen(kw_only=True)
class Logging:
    """Section ``[logging]``: what the daemon logs.

    Attributes:
        level: The least severe level that is written.
    """

    level: str = _key(keys.LEVEL, "info")


@attrs.frozen(kw_only=True)
class Settings:
    """The settings of one daemon, with one attribute per section."""

    host: Host
    listen: Listen
    platform: Platform
    limits: Limits = attrs.field(factory=Limits)
    authority: Authority = attrs.field(factory=Authority)
    logging: Logging = attrs.field(factory=Logging)


_SECTIONS: dict[str, type] = {
    "host": Host,
    "listen": Listen,
    "platform": Platform,
    "limits": Limits,
    "authority": Authority,
    "logging": Logging,
}

Errors = tuple[errors.SettingsError, ...]


def _new_parser() -> configparser.ConfigParser:
    # With the parser's usual default section the keys of a [DEFAULT] section
    # would appear in all others; with none it is an unknown section.
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.optionxform = str
    return parser


def _parse_section(
    file: str, section: str, cls: type, texts: dict[str, str]
) -> tuple[Any, list[errors.SettingsError]]:
    fields = {field.name: field for field in attrs.fields(cls)}
    known = "one of " + ", ".join(fields)
    found = []

    def report(key: str, reason: str, expected: str) -> None:
        found.append(
            errors.SettingsError(
                file=file,
                section=section,
                key=key,
                reason=reason,
                expected=expected,
            )
        )

    values = {}
    for key, text in texts.items():
        if key not in fields:
            report(key, "unknown key", known)
            continue
        kind = fields[key].metadata["kind"]
        try:
            values[key] = kind.parse(text)
        except ValueError as error:
            report(key, f"{text!r}: {error}", kind.expected)
    for key, field in fields.items():
        if field.default is attrs.NOTHING and key not in texts:
            report(key, "missing", field.metadata["kind"].expected)
    return (None if found else cls(**values)), found


def _check_combinations(
    file: str, settings: Settings
) -> list[errors.SettingsError]:
    """Finds settings that are each valid but contradict each other."""
    found = []
    authority = settings.authority
    # The holder renews after a third of the lease. With a guard of half the
    # lease or more, a single lost append would cost it the lease.
    if authority.lease_guard_s * 2 >= authority.lease_ttl_s:
        found.append(
            errors.SettingsError(
                file=file,
                section="authority",
                key="lease_guard_s",
                reason=f"{authority.lease_guard_s}: too long for lease_ttl_s",
                expected=f"less than half of lease_ttl_s, which is"
                f" {authority.lease_ttl_s}",
            )
        )
    # Peers identify each other by this address, which the host list shows.
    if settings.listen.peers.is_unspecified:
        found.append(
            errors.SettingsError(
                file=file,
                section="listen",
                key="peers",
                reason=f"{settings.listen.peers}: is the unspecified address",
                expected="the address that the host list shows as peer",
            )
        )
    return found


def parse_sections(
    text: str, *, file: str, sections: Mapping[str, type]
) -> Result[dict[str, Any], Errors]:
    """Parses the text of an INI file into one object per section.

    Args:
        text: The text.
        file: The file name for error messages.
        sections: The class of each allowed section; its fields have their
            kind as metadata.

    Returns:
        The objects by section, or all errors found.
    """
    parser = _new_parser()
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        return Failure(
            (_file_error(file, " ".join(str(error).split()), "an INI file"),)
        )
    found = []
    for section in parser.sections():
        if section not in sections:
            found.append(
                errors.SettingsError(
                    file=file,
                    section=section,
                    key="",
                    reason="unknown section",
                    expected="one of " + ", ".join(sections),
                )
            )
    parsed = {}
    for section, cls in sections.items():
        texts = dict(parser[section]) if parser.has_section(section) else {}
        parsed[section], section_errors = _parse_section(
            file, section, cls, texts
        )
        found.extend(section_errors)
    return Failure(tuple(found)) if found else Success(parsed)


def parse_settings(text: str, *, file: str) -> Result[Settings, Errors]:
    """Parses the text of an INI file into settings.

    Args:
        text: The text.
        file: The file name for error messages.

    Returns:
        The settings, or all errors found.
    """
    parsed = parse_sections(text, file=file, sections=_SECTIONS)
    if isinstance(parsed, Failure):
        return parsed
    settings = Settings(**parsed.unwrap())
    found = _check_combinations(file, settings)
    return Failure(tuple(found)) if found else Success(settings)


def read_text(path: str) -> Result[str, Errors]:
    """Returns the text of a settings file, or why it can't be read."""
    try:
        with open(path, encoding="utf-8") as stream:
            return Success(stream.read())
    except OSError as error:
        reason = error.strerror or str(error)
        return Failure((_file_error(path, reason, "a readable file"),))
    except UnicodeDecodeError as error:
        return Failure((_file_error(path, str(error), "text in UTF-8"),))


def read_settings(path: str) -> Result[Settings, Errors]:
    """Reads settings from a file; returns all errors found if it is invalid."""
    return read_text(path).bind(lambda text: parse_settings(text, file=path))


def serialize_settings(settings: Settings) -> str:
    """Returns settings as the text of an INI file that contains every key."""
    lines = []
    for section in _SECTIONS:
        lines.append(f"[{section}]")
        values = getattr(settings, section)
        for field in attrs.fields(type(values)):
            value = getattr(values, field.name)
            if isinstance(value, tuple):
                value = ", ".join(value) or "none"
            lines.append(f"{field.name} = {value}")
        lines.append("")
    return "\n".join(lines)


def format_error(error: errors.SettingsError) -> str:
    """Formats an error as one line of text."""
    location = error.file
    if error.section:
        location += f": [{error.section}]"
    if error.key:
        location += f" {error.key}"
    return f"{location}: {error.reason}; expected {error.expected}"


def _file_error(file: str, reason: str, expected: str) -> errors.SettingsError:
    return errors.SettingsError(
        file=file, section="", key="", reason=reason, expected=expected
    )

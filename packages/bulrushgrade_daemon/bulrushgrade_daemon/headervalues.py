"""Checks and bounds of values in headers and paths, of any origin.

A value that can't be sent, or that nothing can compute with, is refused where
it is read.
"""

import math
import re

MAX_STATED_S = 1e10
"""Longest time that is taken from a header; longer ones count as this one."""

# Control characters and spaces at the ends don't arrive as they were sent.
_VALUE = re.compile(r"[!-~\xa1-\xff]([ -~\xa0-\xff]*[!-~\xa1-\xff])?")
_SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@-]{1,256}")
_SECONDS = re.compile(rb"[0-9]+(\.[0-9]+)?")


def is_value(text: str) -> bool:
    """Returns whether a text can be sent as the value of a header."""
    return _VALUE.fullmatch(text) is not None


def is_segment(text: str) -> bool:
    """Returns whether a path can hold a text as a segment without escapes."""
    return _SEGMENT.fullmatch(text) is not None


def encode_name(name: str) -> bytes:
    """Returns a name as the value of a header.

    Headers are in Latin-1. A name with characters that it lacks is sent as
    UTF-8: names of hosts and workspaces are free text.
    """
    try:
        return name.encode("latin-1")
    except UnicodeEncodeError:
        return name.encode("utf-8")


def parse_seconds(value: bytes) -> float | None:
    """Returns a delay in seconds; None for dates and signs."""
    if not _SECONDS.fullmatch(value):
        return None
    return min(float(value), MAX_STATED_S)


def parse_milliseconds(value: bytes | None) -> float | None:
    """Returns a time in seconds; None if none or no number is stated."""
    try:
        seconds = float(value) / 1000 if value is not None else math.nan
    except ValueError:
        return None
    # A comparison with NaN is false.
    return min(seconds, MAX_STATED_S) if seconds > -math.inf else None

"""The outcome of a command: exit code, text, and value for JSON output."""

from typing import Any

import attrs
import msgspec

DONE = 0
REFUSED = 1
USAGE = 2
UNKNOWN = 3


@attrs.frozen(kw_only=True)
class Outcome:
    """The outcome of one command.

    Attributes:
        code: The exit code.
        text: Text for a person; printed to standard error if the command was
            refused or used wrongly, else to standard output.
        value: The value to print as JSON for a program.
        note: A remark for a person, printed to standard error.
    """

    code: int
    text: str
    value: Any
    note: str = ""


def refuse(reason: str, **value: Any) -> Outcome:
    """Returns the outcome of a refused command, which changed nothing."""
    value = {"done": False, "reason": reason, **value}
    return Outcome(code=REFUSED, text=reason, value=value)


def report_unknown(reason: str, **value: Any) -> Outcome:
    """Returns the outcome of a command that may or may not have had effect."""
    value = {"done": None, "reason": reason, **value}
    return Outcome(code=UNKNOWN, text=reason, value=value)


def serialize_value(value: Any) -> str:
    """Serializes a value as indented JSON with sorted keys."""
    raw = msgspec.json.encode(value, order="sorted")
    return msgspec.json.format(raw, indent=2).decode()

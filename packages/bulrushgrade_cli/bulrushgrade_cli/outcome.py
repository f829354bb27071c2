"""What a command came to: an exit code, a text and a value for programs."""

from typing import Any

import attrs
import msgspec

DONE = 0
REFUSED = 1
USAGE = 2
UNKNOWN = 3


@attrs.frozen(kw_only=True)
class Outcome:
    """The end of one command.

    Attributes:
        code: The exit code.
        text: For a person; goes to standard output when done, else to
            standard error.
        value: For a program, ready for JSON.
        note: A remark for a person that is no part of the text.
    """

    code: int
    text: str
    value: Any
    note: str = ""


def refuse(reason: str, **value: Any) -> Outcome:
    """Returns that a command was refused and changed nothing."""
    value = {"done": False, "reason": reason, **value}
    return Outcome(code=REFUSED, text=reason, value=value)


def report_unknown(reason: str, **value: Any) -> Outcome:
    """Returns that a command may or may not have taken effect."""
    value = {"done": None, "reason": reason, **value}
    return Outcome(code=UNKNOWN, text=reason, value=value)


def serialize_value(value: Any) -> str:
    """Returns a value as JSON for a program that reads the output."""
    raw = msgspec.json.encode(value, order="sorted")
    return msgspec.json.format(raw, indent=2).decode()

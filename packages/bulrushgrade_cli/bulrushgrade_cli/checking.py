"""Reads a document from a file and validates it as a daemon does."""

import re

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import document
from bulrushgrade import fleet
from bulrushgrade_cli import outcome

_FLEET_SECTION = re.compile(r"^\[fleet\]", re.MULTILINE)


@attrs.frozen(kw_only=True)
class Draft:
    """A valid document that can be published.

    Attributes:
        service: The service, or `document.FLEET`.
        team: The owning team named in the document.
        text: The text of the document.
        validation: The version of the validation rules it is written for.
    """

    service: str
    team: str
    text: str
    validation: int


def read_text(path: str) -> Result[str, outcome.Outcome]:
    """Returns the text of a file, or a usage error if it can't be read."""
    try:
        with open(path, encoding="utf-8") as stream:
            return Success(stream.read())
    except (OSError, UnicodeDecodeError) as error:
        reason = f"{path}: {error}"
        value = {"done": False, "reason": reason}
        return Failure(
            outcome.Outcome(code=outcome.USAGE, text=reason, value=value)
        )


def parse_draft(text: str, *, source: str) -> Result[Draft, outcome.Outcome]:
    """Parses a document and returns it, or all errors found in it.

    Args:
        text: The document of a service or of the fleet.
        source: The file name to use in error messages.
    """
    if _FLEET_SECTION.search(text):
        parsed = fleet.parse_fleet(text, source=source)
    else:
        parsed = document.parse_document(text, source=source)
    if isinstance(parsed, Failure):
        errors = [str(error) for error in parsed.failure()]
        return Failure(outcome.refuse("\n".join(errors), errors=errors))
    valid = parsed.unwrap()
    is_fleet = isinstance(valid, fleet.FleetDocument)
    return Success(
        Draft(
            service=document.FLEET if is_fleet else valid.service,
            team=valid.team,
            text=text,
            validation=valid.heading.format,
        )
    )


def read_draft(path: str) -> Result[Draft, outcome.Outcome]:
    """Reads and parses the document in a file."""
    return read_text(path).bind(lambda text: parse_draft(text, source=path))


def check(path: str) -> outcome.Outcome:
    """Validates the document in a file without publishing it."""
    parsed_file = read_draft(path)
    if isinstance(parsed_file, Failure):
        return parsed_file.failure()
    draft = parsed_file.unwrap()
    return outcome.Outcome(
        code=outcome.DONE,
        text=f"{path}: {draft.service} of {draft.team} is valid",
        value={"done": True, "service": draft.service, "team": draft.team},
    )

"""Reads a document from a file and checks it as a daemon would."""

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
    """A valid document that may be published.

    Attributes:
        service: The service, or `document.FLEET`.
        team: The team that it names as its owner.
        text: The document.
        validation: The number of the rules that it is written for.
    """

    service: str
    team: str
    text: str
    validation: int


def read_text(path: str) -> Result[str, outcome.Outcome]:
    """Returns the text of a file, or why it can't be had."""
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
    """Returns the document in a text, or every error in it.

    Args:
        text: A service document or the fleet's.
        source: What errors name as the file.
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
    """Returns the document in a file, or why there is none."""
    return read_text(path).bind(lambda text: parse_draft(text, source=path))


def check(path: str) -> outcome.Outcome:
    """Checks a document; nothing is sent anywhere."""
    parsed_file = read_draft(path)
    if isinstance(parsed_file, Failure):
        return parsed_file.failure()
    draft = parsed_file.unwrap()
    return outcome.Outcome(
        code=outcome.DONE,
        text=f"{path}: {draft.service} of {draft.team} is valid",
        value={"done": True, "service": draft.service, "team": draft.team},
    )

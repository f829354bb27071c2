"""Reads accepted documents and the publish history from the log."""

from typing import Any

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import publication
from bulrushgrade import registry
from bulrushgrade_cli import outcome
from bulrushgrade_daemon import logclient


async def catch_up(
    log: logclient.LogClient, fold: registry.Registry
) -> Result[registry.Registry, str]:
    """Applies all records of the log that are new to a registry.

    Args:
        log: The log service.
        fold: The registry, empty or already advanced by earlier records.

    Returns:
        The registry, or why the accepted documents can't be determined.
    """
    while True:
        offset = fold.read_offset
        read = await log.read(publication.STREAM, offset)
        if isinstance(read, Failure):
            return Failure(f"the log does not answer: {read.failure().reason}")
        page = read.unwrap()
        fold.observe_earliest_offset(page.earliest_offset)
        for item in page.records:
            fold.apply(item)
        # The fold doesn't advance past a record with validation rules that
        # this release lacks.
        is_blocked = fold.read_offset == offset
        if is_blocked or fold.read_offset >= page.end_offset:
            break
    state = fold.readiness(page.end_offset)
    if isinstance(state, Failure):
        return Failure(f"the log can't be followed: {state.failure().reason}")
    return Success(fold)


async def show(log: logclient.LogClient, service: str) -> outcome.Outcome:
    """Returns the accepted document of a service, or of the fleet."""
    read = await catch_up(log, registry.Registry())
    if isinstance(read, Failure):
        return outcome.report_unknown(read.failure())
    revision = read.unwrap().accepted_revision(service)
    if revision is None:
        return outcome.refuse(f"{service} has no accepted document")
    return outcome.Outcome(
        code=outcome.DONE,
        text=revision.text,
        note=f"{service}, revision {revision.offset} of {revision.team}",
        value={
            "service": service,
            "revision": revision.offset,
            "team": revision.team,
            "text": revision.text,
        },
    )


async def list_history(
    log: logclient.LogClient, service: str
) -> outcome.Outcome:
    """Returns the latest publishes of a service and their verdicts."""
    read = await catch_up(log, registry.Registry())
    if isinstance(read, Failure):
        return outcome.report_unknown(read.failure())
    verdicts = read.unwrap().history(service)
    if not verdicts:
        return outcome.refuse(f"nothing has been published for {service}")
    return outcome.Outcome(
        code=outcome.DONE,
        text="\n".join(_format_verdict(verdict) for verdict in verdicts),
        value={
            "service": service,
            "verdicts": [_to_value(verdict) for verdict in verdicts],
        },
    )


def _format_verdict(verdict: publication.Verdict) -> str:
    base = "none" if verdict.base_offset is None else verdict.base_offset
    line = f"{verdict.offset:>8}  {verdict.code:<20} base {base}"
    line += f"  by {verdict.team}"
    return f"{line}: {verdict.message}" if verdict.message else line


def _to_value(verdict: publication.Verdict) -> dict[str, Any]:
    return attrs.asdict(verdict)

"""Publishes a document and reads its verdict back from the log.

The log may be slow or unavailable, and an append can take effect although its
answer is lost. So a lost answer counts neither as success nor as failure: the
stream is read until the record appears, and the record is appended again with
the same id, of which the fold ignores the second copy.
"""

import random
from typing import Any
import uuid

import attrs
from returns.result import Failure
from twisted.internet import task

from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry
from bulrushgrade_cli import checking
from bulrushgrade_cli import outcome
from bulrushgrade_cli import reading
from bulrushgrade_daemon import logclient

# Long enough to outlast short outages of the log, and short enough for an
# operator who waits at the terminal.
TIMEOUT_S = 20.0
RETRY_PAUSE_RANGE_S = (0.1, 0.5)


@attrs.define(kw_only=True)
class _Attempt:
    """The state of one publish.

    Attributes:
        draft: The document.
        append: The record, identical in every attempt.
        base: The revision that the document was edited from.
        maybe_stored: Whether an append may have taken effect.
        reason: Why the outcome was not known after the last attempt.
    """

    draft: checking.Draft
    append: record.Append
    base: int | None
    maybe_stored: bool = False
    reason: str = ""


async def publish(
    reactor: Any,
    log: logclient.LogClient,
    draft: checking.Draft,
    *,
    base: int | None = None,
    timeout_s: float = TIMEOUT_S,
) -> outcome.Outcome:
    """Publishes a document unless it is already in force.

    Args:
        reactor: The reactor, for pauses between attempts.
        log: The log service.
        draft: The document.
        base: The revision that it was edited from; None means the currently
            accepted one.
        timeout_s: How long to wait for the verdict.
    """
    fold = registry.Registry()
    read = await reading.catch_up(log, fold)
    if isinstance(read, Failure):
        return outcome.refuse(f"nothing published: {read.failure()}")
    if _is_in_force(fold, draft):
        return _report_done(fold, draft, "is in force already")
    accepted = fold.accepted_revision(draft.service)
    current = None if accepted is None else accepted.offset
    if base is not None and base != current:
        # Offsets of accepted revisions only grow, so the base can't be
        # accepted again.
        current_text = "none" if current is None else current
        reason = f"edited from {base}, accepted is {current_text}"
        return outcome.refuse(
            f"{draft.service}: {reason}",
            code="base_replaced",
            beaten_by=current,
        )
    attempt = _Attempt(
        draft=draft, append=_make_append(draft, current), base=current
    )
    return await _append_until_decided(reactor, log, fold, attempt, timeout_s)


def _make_append(draft: checking.Draft, base: int | None) -> record.Append:
    body = publication.CODEC.serialize(
        publication.Publish(
            service=draft.service,
            team=draft.team,
            base_offset=base,
            text=draft.text,
            validation=draft.validation,
        )
    )
    return record.Append(
        stream=publication.STREAM,
        record_id=f"publish-{uuid.uuid4().hex}",
        body=body,
    )


async def _append_until_decided(
    reactor: Any,
    log: logclient.LogClient,
    fold: registry.Registry,
    attempt: _Attempt,
    timeout_s: float,
) -> outcome.Outcome:
    """Appends and reads until the verdict is known or the timeout passes."""
    deadline = reactor.seconds() + timeout_s
    send = True
    while True:
        if send:
            await _append(log, attempt)
        read = await reading.catch_up(log, fold)
        result = _find_outcome(fold, attempt)
        if result is not None:
            return result
        # Append again only if a read up to the end did not show the record. A
        # copy is harmless, but would add load to a log that is merely slow.
        send = not isinstance(read, Failure)
        attempt.reason = "the record is not on the log"
        if isinstance(read, Failure):
            attempt.reason = read.failure()
        if reactor.seconds() >= deadline:
            break
        pause_s = random.uniform(*RETRY_PAUSE_RANGE_S)
        await task.deferLater(reactor, pause_s, lambda: None)
    record_id = attempt.append.record_id
    if attempt.maybe_stored:
        return outcome.report_unknown(
            f"{attempt.draft.service}: it is not known whether the log took "
            f"the document ({attempt.reason}); look at its history, or "
            "publish again, which is harmless",
            record_id=record_id,
        )
    return outcome.refuse(
        f"nothing published: {attempt.reason}", record_id=record_id
    )


async def _append(log: logclient.LogClient, attempt: _Attempt) -> None:
    appended = await log.append(publication.STREAM, [attempt.append])
    if not isinstance(appended, Failure):
        attempt.maybe_stored = True
        return
    error = appended.failure()
    if isinstance(error, logclient.OutcomeUnknown):
        attempt.maybe_stored = True


def _find_outcome(
    fold: registry.Registry, attempt: _Attempt
) -> outcome.Outcome | None:
    verdict = fold.find_verdict(attempt.append.record_id)
    if verdict is None:
        return None
    if verdict.accepted:
        return _report_done(fold, attempt.draft, "is accepted")
    if _is_in_force(fold, attempt.draft):
        return _report_done(fold, attempt.draft, "was published meanwhile")
    return outcome.refuse(
        f"{attempt.draft.service}: {verdict.message}",
        code=verdict.code,
        beaten_by=verdict.beaten_by,
    )


def _is_in_force(fold: registry.Registry, draft: checking.Draft) -> bool:
    accepted = fold.accepted_revision(draft.service)
    if accepted is None:
        return False
    return (accepted.text, accepted.team) == (draft.text, draft.team)


def _report_done(
    fold: registry.Registry, draft: checking.Draft, how: str
) -> outcome.Outcome:
    accepted = fold.accepted_revision(draft.service)
    # A later publish may have replaced it; the verdict is still valid.
    revision = None if accepted is None else accepted.offset
    return outcome.Outcome(
        code=outcome.DONE,
        text=f"{draft.service} {how}, revision {revision}",
        value={
            "done": True,
            "service": draft.service,
            "revision": revision,
            "how": how,
        },
    )

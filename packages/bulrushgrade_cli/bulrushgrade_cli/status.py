"""Fetches the state of daemons and summarizes it."""

from collections.abc import Sequence
from typing import Any

import attrs
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import treq
from twisted.internet import defer

from bulrushgrade_cli import outcome
from bulrushgrade_daemon import httpclient
from bulrushgrade_daemon import task

TIMEOUT_S = 5.0

_COLUMNS = (
    "admin",
    "ready",
    "open",
    "queued",
    "documents",
    "engines",
    "peers",
    "log",
)


@attrs.frozen(kw_only=True)
class Answer:
    """A daemon's HTTP answer.

    Attributes:
        code: The HTTP status code.
        value: The decoded JSON body.
    """

    code: int
    value: Any


async def fetch(reactor: Any, address: str, path: str) -> Result[Answer, str]:
    """Fetches a path from a daemon's admin address.

    Returns:
        The answer, or why there is none.
    """
    client = httpclient.open_client(reactor, persistent=False)

    async def get() -> Answer:
        response = await client.http.get(f"http://{address}{path}")
        raw = await treq.content(response)
        return Answer(code=response.code, value=msgspec.json.decode(raw))

    fetched = defer.Deferred.fromCoroutine(get())
    try:
        return Success(await fetched.addTimeout(TIMEOUT_S, reactor))
    except Exception as error:
        reason = str(error) or type(error).__name__
        return Failure(f"{address} does not answer: {reason}")


async def dump(
    reactor: Any, address: str, service: str | None
) -> outcome.Outcome:
    """Returns the state of a daemon, or of one of its services."""
    path = "/dump" if service is None else f"/dump/{service}"
    fetched = await fetch(reactor, address, path)
    if isinstance(fetched, Failure):
        return outcome.report_unknown(fetched.failure())
    answer = fetched.unwrap()
    if answer.code != 200:
        reason = f"{address} answered {answer.code}: {answer.value}"
        return outcome.refuse(reason)
    return outcome.Outcome(
        code=outcome.DONE,
        text=outcome.serialize_value(answer.value),
        value=answer.value,
    )


async def show_status(
    reactor: Any, addresses: Sequence[str]
) -> outcome.Outcome:
    """Returns the status of each daemon in one line.

    Args:
        reactor: The reactor.
        addresses: The daemons' admin addresses.

    Returns:
        Done if all are ready, refused if one reports that it is not ready, and
        unknown if one did not answer.
    """
    fetched = await task.gather(
        fetch(reactor, address, "/dump") for address in addresses
    )
    rows = [
        _summarize(address, answer)
        for address, answer in zip(addresses, fetched, strict=True)
    ]
    code = outcome.DONE
    if any(row["ready"] != "yes" for row in rows):
        code = outcome.REFUSED
    if any(isinstance(answer, Failure) for answer in fetched):
        code = outcome.UNKNOWN
    return outcome.Outcome(
        code=code, text=_format_rows(rows), value={"daemons": rows}
    )


def _summarize(address: str, fetched: Result[Answer, str]) -> dict[str, Any]:
    row: dict[str, Any] = dict.fromkeys(_COLUMNS, "-")
    row["admin"] = address
    if isinstance(fetched, Failure):
        return {**row, "ready": "no answer", "reason": fetched.failure()}
    state = fetched.unwrap().value
    # A daemon of another release may lack a section; use defaults then.
    callers = state.get("callers", {})
    documents = state.get("documents", {})
    placing = state.get("placing", {})
    reason = callers.get("not_ready")
    row["ready"] = "yes" if reason is None else reason
    row["open"] = callers.get("open", "-")
    row["queued"] = placing.get("queued", "-")
    row["documents"] = str(documents.get("digest", "-"))[:8]
    row["engines"] = _count_engines(placing.get("reports", {}))
    row["peers"] = len(state.get("peers", {}).get("peers", {}))
    reachable = state.get("log", {}).get("reachable")
    row["log"] = {True: "answers", False: "away"}.get(reachable, "-")
    return row


def _count_engines(reports: dict[str, Any]) -> str:
    counts: dict[str, int] = {}
    for report in reports.values():
        state = report.get("state", "-")
        counts[state] = counts.get(state, 0) + 1
    return ", ".join(f"{n} {state}" for state, n in sorted(counts.items()))


def _format_rows(rows: list[dict[str, Any]]) -> str:
    lines = [_COLUMNS, *(tuple(str(row[c]) for c in _COLUMNS) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )

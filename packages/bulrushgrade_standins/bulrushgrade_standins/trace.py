"""Traces of requests as JSON lines, read and written.

The first line is the header, the others are requests and events in order of
time. docs/DECISIONS.md has the schema.
"""

import functools
import pathlib
from typing import Any

import attrs
import msgspec
import xxhash

from bulrushgrade import work

SCHEMA = 1
DEFAULT_DURATION_S = 100.0


@attrs.frozen(kw_only=True)
class EngineSpec:
    """An engine of the fleet at the start of a trace."""

    address: str
    zone: str
    role: work.Role = work.Role.MIXED


@attrs.frozen(kw_only=True)
class Header:
    """What a trace says of itself.

    Attributes:
        name: The trace's name.
        generated: Whether it was made by a program and not recorded.
        seed: The program's seed, or None.
        parameters: The program's other parameters.
        model: The model that all engines run.
        engines: The fleet.
        services: The services' policies.
        hosts: How many entry hosts decide.
        duration_s: Length of the trace.
        scored_from_s: Requests that arrive sooner warm up and don't count.
    """

    name: str
    generated: bool
    seed: int | None = None
    parameters: dict[str, Any] = attrs.field(factory=dict)
    model: str = "model"
    engines: tuple[EngineSpec, ...] = ()
    services: tuple[work.ServicePolicy, ...] = ()
    hosts: int = 6
    duration_s: float = DEFAULT_DURATION_S
    scored_from_s: float = 0.0
    schema: int = SCHEMA


@attrs.frozen(kw_only=True)
class Request:
    """One request of a trace.

    Attributes:
        at_s: When it arrives, from the trace's start.
        request_id: Unique in the trace.
        service: The service that it belongs to.
        team: The member team that owns the service.
        prompt_tokens: Length of the prompt.
        output_tokens: Length of the answer as it turns out.
        expected_output_tokens: Length that is expected when it arrives.
        prefix: Parts of the prompt that others share, as name and tokens.
        deadline_s: Seconds in which the answer has to be complete.
        first_token_s: Seconds in which its first token has to come, or None.
        between_tokens_s: Longest mean time between tokens, or None.
    """

    at_s: float
    request_id: str
    service: str
    team: str = ""
    prompt_tokens: int
    output_tokens: int
    expected_output_tokens: int
    prefix: tuple[tuple[str, int], ...] = ()
    deadline_s: float
    first_token_s: float | None = None
    between_tokens_s: float | None = None


@attrs.frozen(kw_only=True)
class Event:
    """Something that happens to an engine.

    Attributes:
        at_s: When, from the trace's start.
        engine: The engine's address.
        what: ``slow``, ``lose``, ``back`` or ``leave``.
        factor: For ``slow``, how many times as long a step takes.
    """

    at_s: float
    engine: str
    what: str
    factor: float = 1.0


@attrs.frozen(kw_only=True)
class Trace:
    """A whole trace."""

    header: Header
    requests: tuple[Request, ...]
    events: tuple[Event, ...] = ()


_PARSE_ERRORS = (msgspec.MsgspecError, KeyError, AttributeError, TypeError)
_KINDS = {"header": Header, "request": Request, "event": Event}


def write_trace(trace: Trace, path: pathlib.Path) -> None:
    """Writes a trace as JSON lines."""
    lines = [("header", trace.header)]
    lines += [("request", request) for request in trace.requests]
    lines += [("event", event) for event in trace.events]
    encode = msgspec.json.Encoder().encode
    raw = [
        encode({"kind": kind, **msgspec.to_builtins(item)})
        for kind, item in lines
    ]
    path.write_bytes(b"\n".join(raw) + b"\n")


def read_trace(path: pathlib.Path) -> Trace:
    """Reads a trace of JSON lines.

    Raises:
        ValueError: A line is not what the schema says; names the line.
    """
    found: dict[str, list[Any]] = {kind: [] for kind in _KINDS}
    for number, line in enumerate(path.read_bytes().splitlines(), start=1):
        try:
            fields = msgspec.json.decode(line)
            kind = fields.pop("kind")
            found[kind].append(msgspec.convert(fields, _KINDS[kind]))
        except _PARSE_ERRORS as error:
            raise ValueError(f"{path}, line {number}: {error}") from error
    if len(found["header"]) != 1:
        raise ValueError(f"{path}: it needs one header")
    return Trace(
        header=found["header"][0],
        requests=tuple(sorted(found["request"], key=lambda r: r.at_s)),
        events=tuple(sorted(found["event"], key=lambda e: e.at_s)),
    )


@functools.lru_cache(maxsize=50_000)
def _hash_segment(name: str, before: int, blocks: int) -> tuple[int, ...]:
    digest = xxhash.xxh3_64_intdigest
    return tuple(
        digest(f"{before}/{name}/{index}".encode()) for index in range(blocks)
    )


def hash_blocks(prefix: tuple[tuple[str, int], ...]) -> tuple[int, ...]:
    """Returns the hashes of a prompt's shared leading blocks."""
    found: tuple[int, ...] = ()
    for name, tokens in prefix:
        before = found[-1] if found else 0
        found += _hash_segment(name, before, tokens // work.BLOCK_TOKENS)
    return found

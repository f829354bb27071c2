"""Reads and writes traces of requests as JSON lines.

The first line is the header; the others are requests and events in order of
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
    """Metadata of a trace.

    Attributes:
        name: The name of the trace.
        generated: Whether a program generated it, as opposed to a recording.
        seed: The seed of the generator, or None.
        parameters: Other parameters of the generator.
        model: The model that all engines run.
        engines: The engines of the fleet.
        services: The policies of the services.
        hosts: Number of entry hosts.
        duration_s: Length of the trace.
        scored_from_s: Requests that arrive earlier are a warm-up and are left
            out of the metrics.
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
        at_s: Arrival time, from the start of the trace.
        request_id: Unique id in the trace.
        service: The service that it belongs to.
        team: The member team that owns the service.
        prompt_tokens: Length of the prompt.
        output_tokens: Actual length of the answer.
        expected_output_tokens: Length expected on arrival.
        prefix: Leading parts of the prompt that requests share, as pairs of
            name and token count.
        deadline_s: Time limit for the complete answer.
        first_token_s: Time limit for the first token, or None.
        between_tokens_s: Limit on the mean time between tokens, or None.
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
    """An event that affects an engine.

    Attributes:
        at_s: Time of the event, from the start of the trace.
        engine: The engine's address.
        what: ``slow``, ``lose``, ``back`` or ``leave``.
        factor: For ``slow``, the factor on the duration of a step.
    """

    at_s: float
    engine: str
    what: str
    factor: float = 1.0


@attrs.frozen(kw_only=True)
class Trace:
    """A trace with its header, requests and events."""

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
    """Reads a trace from a file of JSON lines.

    Raises:
        ValueError: A line violates the schema; the message names the line.
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

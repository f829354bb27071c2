"""Translation between HTTP headers and the gateway's own types.

The gateway works with the types of this module and never depends on a header's
name. A dialect is a set of functions that read headers into these types and
write headers from them.
"""

from collections.abc import Callable
from typing import Any

import attrs

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module

Fields = list[tuple[bytes, bytes]]


@attrs.frozen(kw_only=True)
class RequestInfo:
    """Information about a request from the caller's headers.

    Attributes:
        request_id: The caller's id of this attempt; empty if there is none.
        deadline_s: How long the caller will wait, or None.
        prompt: The caller's description of its prompt, or None.
        last_event_id: The last event received of a stream to be resumed, or
            None.
        resumes: The id of the caller's attempt that brought the first event of
            that stream, or None.
        key_digests: The digests of the different API keys in the request.
    """

    request_id: str
    deadline_s: float | None
    prompt: prompt_module.Prompt | None
    last_event_id: str | None
    resumes: str | None = None
    key_digests: frozenset[bytes] = frozenset()


@attrs.frozen(kw_only=True)
class PrefilledBy:
    """The location of the KV cache of a prompt.

    Attributes:
        address: The engine that prefilled the prompt, ``IP:PORT``.
        handle: That engine's name for the cached prompt.
    """

    address: str
    handle: str


@attrs.frozen(kw_only=True)
class ForwardingInfo:
    """What the gateway adds to a request that it forwards.

    Attributes:
        endpoint: The endpoint that receives the request.
        left_s: Seconds left until the deadline.
        last_event_id: The event after which a stream resumes, or None.
        prefill_only: Whether the prompt is only prefilled, without decode.
        prefilled_by: Where the prompt was prefilled already, or None.
        fetch_from: The engine, ``IP:PORT``, from which to fetch cached parts
            before prefill, or None.
        urgency: From 0, the most urgent, to 9; None leaves it to the
            endpoint.
        workspace: The request's workspace, or None.
        hides_key: Whether to remove the caller's API key.
    """

    endpoint: directory.Registration
    left_s: float
    last_event_id: str | None = None
    prefill_only: bool = False
    prefilled_by: PrefilledBy | None = None
    fetch_from: str | None = None
    urgency: int | None = None
    workspace: str | None = None
    hides_key: bool = False


@attrs.frozen(kw_only=True)
class Verdict:
    """What the status and headers of an endpoint's answer say about the run.

    Attributes:
        request_id: The request that is answered, or None if not stated.
        not_run: The endpoint states that it did not and will not run the
            request.
        misdirected: The address now belongs to another endpoint.
        limit_per_s: Requests per second that the endpoint accepts from all
            hosts together while it says so, None if it states no limit.
        invalid_limit: The text of a limit that is not one valid number, or
            None.
        is_leaving: The endpoint states that it is leaving.
        backoff_s: Seconds for which the endpoint, which turned the request
            away, wants no more of them from this host, or None.
        invalid_signals: The names and texts of such statements that are not
            one valid value.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool
    limit_per_s: float | None = None
    invalid_limit: str | None = None
    is_leaving: bool = False
    backoff_s: float | None = None
    invalid_signals: tuple[tuple[str, str], ...] = ()


@attrs.frozen(kw_only=True)
class Prefilled:
    """A prompt that an engine has prefilled for another engine.

    Attributes:
        handle: The engine's name for the cached prompt.
        tokens: Number of prompt tokens that were prefilled or cached.
    """

    handle: str
    tokens: int


@attrs.frozen(kw_only=True)
class Dialect:
    """The functions that translate headers and bodies.

    Attributes:
        read_request_info: Returns the information in a caller's headers.
        write_fields: Returns the headers of a request to an endpoint, from
            the caller's headers and the added information.
        read_verdict: Returns the information in the status and headers of an
            endpoint's answer.
        write_answer_fields: Returns the headers of the answer to the caller.
        read_prefilled: Returns the content of the answer to a prefill, or
            None if the body cannot be decoded.
        free_prefilled: Returns method and path of the request that frees a
            prefilled prompt that will not be used.
        challenge: Headers of an answer that demands an API key.
    """

    read_request_info: Callable[[Any], RequestInfo]
    write_fields: Callable[[Any, ForwardingInfo], Fields]
    read_verdict: Callable[[int, Any], Verdict]
    write_answer_fields: Callable[[Any], Fields]
    read_prefilled: Callable[[bytes], Prefilled | None]
    free_prefilled: Callable[[str], tuple[bytes, bytes]]
    challenge: tuple[tuple[bytes, bytes], ...]

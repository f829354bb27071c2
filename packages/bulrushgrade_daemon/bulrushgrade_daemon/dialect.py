"""How callers and endpoints spell what the gateway means.

The gateway decides by the types here and never looks at a header's name. A
dialect is a set of plain functions that read and write them.
"""

from collections.abc import Callable
from typing import Any

import attrs

from bulrushgrade import directory
from bulrushgrade import prompt as prompt_module

Fields = list[tuple[bytes, bytes]]


@attrs.frozen(kw_only=True)
class RequestInfo:
    """What a caller's headers say beside the request itself.

    Attributes:
        request_id: The caller's id of this attempt; empty where it has none.
        deadline_s: How long the caller will wait, or None.
        prompt: What it says of its prompt, or None.
        last_event_id: Where a broken stream should go on, or None.
        key_digests: One for each different key that the request bears.
    """

    request_id: str
    deadline_s: float | None
    prompt: prompt_module.Prompt | None
    last_event_id: str | None
    key_digests: frozenset[bytes] = frozenset()


@attrs.frozen(kw_only=True)
class PrefilledBy:
    """Where an endpoint finds the KV cache of a prompt.

    Attributes:
        address: The engine that read the prompt, ``IP:PORT``.
        handle: What that engine calls it.
    """

    address: str
    handle: str


@attrs.frozen(kw_only=True)
class ForwardingInfo:
    """What the gateway adds to a request for an endpoint.

    Attributes:
        endpoint: Who is meant.
        left_s: The time that the endpoint has.
        last_event_id: The event after which a stream goes on, or None.
        prefill_only: Whether only the prompt is to be read.
        prefilled_by: Where the prompt was read already, or None.
        fetch_from: The engine, ``IP:PORT``, from which to fetch cached parts
            before reading, or None.
        urgency: 0 first to 9 last, or None to leave it to the endpoint.
        workspace: Whose request it is, or None.
        hides_key: Whether the caller's key is not for the endpoint.
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
    """What the head of an endpoint's answer says of the run.

    Attributes:
        request_id: Which request it answers, or None where it doesn't say.
        not_run: The endpoint says that it did not and will not run it.
        misdirected: Another endpoint has this address.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool


@attrs.frozen(kw_only=True)
class Prefilled:
    """A prompt that an engine has read for another.

    Attributes:
        handle: What the engine calls it.
        tokens: How many tokens it read or had.
    """

    handle: str
    tokens: int


@attrs.frozen(kw_only=True)
class Dialect:
    """The functions that translate.

    Attributes:
        read_request_info: Returns what a caller's headers say.
        write_fields: Returns the headers of a request to an endpoint from
            the caller's headers and what is to be added.
        read_verdict: Returns what the status and headers of an answer say.
        write_answer_fields: Returns the headers of an answer as the caller
            gets them.
        read_prefilled: Returns what the body of a prefill's answer says, or
            None where it can't be read.
        free_prefilled: Returns method and path of the request that frees a
            prompt which nobody will take.
        challenge: Headers of an answer that asks for a key.
    """

    read_request_info: Callable[[Any], RequestInfo]
    write_fields: Callable[[Any, ForwardingInfo], Fields]
    read_verdict: Callable[[int, Any], Verdict]
    write_answer_fields: Callable[[Any], Fields]
    read_prefilled: Callable[[bytes], Prefilled | None]
    free_prefilled: Callable[[str], tuple[bytes, bytes]]
    challenge: tuple[tuple[bytes, bytes], ...]

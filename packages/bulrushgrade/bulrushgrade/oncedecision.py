"""Decisions on how to proceed with a request that carries a key."""

import attrs

from bulrushgrade import errors
from bulrushgrade import oncelog


@attrs.frozen(kw_only=True)
class Free:
    """The key may be claimed."""


@attrs.frozen(kw_only=True)
class Pending:
    """This request's claim has not been read back yet."""


@attrs.frozen(kw_only=True)
class Run:
    """This request's claim owns the key and may start now."""


@attrs.frozen(kw_only=True)
class Late:
    """This request's claim may no longer start and must be abandoned."""


@attrs.frozen(kw_only=True)
class Duplicate:
    """The key has been run.

    Attributes:
        answer: The recorded answer, or None if it was not kept.
    """

    answer: oncelog.Answer | None


@attrs.frozen(kw_only=True)
class Running:
    """Another request with the key is running or waiting to run.

    Attributes:
        retry_after_s: Delay after which the caller should retry.
    """

    retry_after_s: float


@attrs.frozen(kw_only=True)
class Unknown:
    """The key may have been run; the outcome can't be determined."""


Decision = (
    Free
    | Pending
    | Run
    | Late
    | Duplicate
    | Running
    | Unknown
    | errors.KeyConflict
    | errors.OnceNotReady
)

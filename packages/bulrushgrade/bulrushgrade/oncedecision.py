"""What a request with an idempotency key may have to do."""

import attrs

from bulrushgrade import errors
from bulrushgrade import oncelog


@attrs.frozen(kw_only=True)
class Free:
    """The key may be claimed."""


@attrs.frozen(kw_only=True)
class Pending:
    """The own claim has not been read back yet."""


@attrs.frozen(kw_only=True)
class Run:
    """The own claim has the key and may start now."""


@attrs.frozen(kw_only=True)
class Late:
    """The own claim has the key but may not start any more: abandon it."""


@attrs.frozen(kw_only=True)
class Duplicate:
    """The key was run.

    Attributes:
        answer: The first answer, or None where it was not kept.
    """

    answer: oncelog.Answer | None


@attrs.frozen(kw_only=True)
class Running:
    """Another request of the key runs, or waits to.

    Attributes:
        retry_after_s: When its outcome should be known.
    """

    retry_after_s: float


@attrs.frozen(kw_only=True)
class Unknown:
    """The key may have been run, and nobody can tell."""


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

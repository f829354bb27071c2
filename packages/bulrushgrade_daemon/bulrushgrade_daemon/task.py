"""Runs coroutines whose failure would be a broken invariant."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer
from twisted.python import failure as twisted_failure


def spawn(
    work: Coroutine[Any, Any, Any],
    *,
    name: str,
    on_broken: Callable[[str], None],
) -> defer.Deferred:
    """Runs a coroutine until it ends or is cancelled.

    Coroutines here return outcomes as values, so an exception means that the
    state behind it can't be trusted any more.

    Args:
        work: The coroutine.
        name: What it is called in the reason.
        on_broken: Called with the reason; must stop the process.

    Returns:
        Fires with the coroutine's value; cancel it to end the coroutine.
    """
    running = defer.Deferred.fromCoroutine(work)

    def report(failure: twisted_failure.Failure) -> None:
        if failure.check(defer.CancelledError):
            return
        on_broken(f"{name}: {failure.getTraceback()}")

    return running.addErrback(report)

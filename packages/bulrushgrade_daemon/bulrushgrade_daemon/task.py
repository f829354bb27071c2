"""Runs coroutines in which an exception is a broken invariant."""

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

    Coroutines in this package return failures as values. So an exception means
    that the state of the program can't be trusted any more.

    Args:
        work: The coroutine.
        name: The name of the coroutine in the reported reason.
        on_broken: Called with the traceback; must stop the process.

    Returns:
        A Deferred that fires with the coroutine's result; cancelling it cancels
        the coroutine.
    """
    running = defer.Deferred.fromCoroutine(work)

    def report(failure: twisted_failure.Failure) -> None:
        if failure.check(defer.CancelledError):
            return
        on_broken(f"{name}: {failure.getTraceback()}")

    return running.addErrback(report)

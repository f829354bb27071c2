"""Runs coroutines in which an exception is a broken invariant."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
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


async def gather(works: Iterable[Coroutine[Any, Any, Any]]) -> list[Any]:
    """Runs coroutines at once and returns their results in the same order.

    Cancelling cancels all of them, also those that end with a result then.
    Twisted's own function reports the cancellation of one of them as an error
    of another type, which `spawn` takes for a broken invariant.

    Args:
        works: The coroutines.

    Raises:
        CancelledError: It was cancelled, or one of the coroutines was.
        Exception: The first error of a coroutine, after all have ended.
    """
    running = [defer.Deferred.fromCoroutine(work) for work in works]
    is_cancelled = False

    def cancel(_: defer.Deferred) -> None:
        nonlocal is_cancelled
        is_cancelled = True
        for one in running:
            one.cancel()

    ended: defer.Deferred = defer.Deferred(cancel)

    def finish(outcomes: list[tuple[bool, Any]]) -> None:
        if not ended.called:
            ended.callback(outcomes)

    defer.DeferredList(running, consumeErrors=True).addCallback(finish)
    outcomes = await ended
    failures = [found for is_success, found in outcomes if not is_success]
    for failure in failures:
        if not failure.check(defer.CancelledError):
            failure.raiseException()
    if is_cancelled or failures:
        raise defer.CancelledError()
    return [found for _, found in outcomes]

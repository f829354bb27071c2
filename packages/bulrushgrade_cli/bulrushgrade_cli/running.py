"""Runs one command in the reactor until it finishes or Ctrl-C."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from bulrushgrade_cli import outcome

INTERRUPTED = outcome.report_unknown("interrupted before the end was known")


def run(
    command: Callable[[Any], Coroutine[Any, Any, outcome.Outcome]],
    *,
    interrupted: outcome.Outcome = INTERRUPTED,
) -> outcome.Outcome:
    """Runs a command and returns its outcome.

    Args:
        command: Called with the reactor once the reactor runs.
        interrupted: The outcome to return after Ctrl-C or SIGTERM.

    Raises:
        Exception: Any exception that the command raised.
    """
    # Imported here so that commands without a reactor don't install one.
    from twisted.internet import reactor

    results: list[Any] = []

    def start() -> None:
        deferred = defer.Deferred.fromCoroutine(command(reactor))
        deferred.addBoth(results.append)
        deferred.addBoth(lambda _: reactor.running and reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if not results:
        return interrupted
    if isinstance(results[0], failure.Failure):
        results[0].raiseException()
    return results[0]

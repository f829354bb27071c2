"""The program ``bulrushgraded``, which runs the daemon of an entry host."""

import json
import signal
import sys
from typing import Annotated

from absl import logging
from returns.result import Failure
from twisted.internet import error as internet_error
import typer

from bulrushgrade_daemon import clock
from bulrushgrade_daemon import host
from bulrushgrade_daemon import settings as settings_module
from bulrushgrade_daemon import task

EXIT_OK = 0
EXIT_BROKEN = 1
EXIT_BAD_SETTINGS = 2
_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class Process:
    """Runs the daemon in this process, from start to exit code."""

    def __init__(self, *, settings: settings_module.Settings, reactor):
        clock.use_steady_clock(reactor)
        self._settings = settings
        self._reactor = reactor
        self._exit_code = EXIT_OK
        self._stopping = False
        self._daemon = host.build(settings, reactor, on_broken=self._on_broken)

    def run(self) -> int:
        """Runs until SIGTERM or SIGINT and returns the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _on_signal(self, number: int, frame: object) -> None:
        self._reactor.callFromThread(self._stop)

    def _start(self) -> None:
        task.spawn(
            self._start_services(), name="start", on_broken=self._on_broken
        )

    async def _start_services(self) -> None:
        try:
            await self._daemon.kernel.start()
        except internet_error.CannotListenError as error:
            self._on_broken(f"cannot listen on an address: {error}")
            return
        addresses = {
            "name": self._settings.host.name,
            "callers": self._daemon.callers.address,
            "admin": self._daemon.admin.address,
        }
        print(json.dumps(addresses), flush=True)
        logging.info("started %s", addresses)

    def _stop(self) -> None:
        if self._stopping:
            return
        self._stopping = True
        logging.info("stopping after the open requests are finished")
        task.spawn(
            self._stop_services(), name="stop", on_broken=self._on_broken
        )

    async def _stop_services(self) -> None:
        await self._daemon.kernel.stop()
        logging.info("stopped")
        self._reactor.stop()

    def _on_broken(self, reason: str) -> None:
        logging.error("broken invariant, stopping: %s", reason)
        self._exit_code = EXIT_BROKEN
        if self._reactor.running:
            self._reactor.callLater(0, self._reactor.crash)


app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def run(
    settings: Annotated[str, typer.Option(help="The INI file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Check the file and exit.")
    ] = False,
) -> None:
    """Runs the daemon of one entry host until SIGTERM."""
    read = settings_module.read_settings(settings)
    if isinstance(read, Failure):
        for error in read.failure():
            print(settings_module.format_error(error), file=sys.stderr)
        raise typer.Exit(EXIT_BAD_SETTINGS)
    if check:
        print(f"{settings}: ok")
        return
    parsed = read.unwrap()
    logging.use_absl_handler()
    logging.set_verbosity(_LEVELS[parsed.logging.level])
    logging.set_stderrthreshold("debug")
    # Imported here, as the import opens file descriptors, which --check must
    # not do.
    from twisted.internet import reactor

    raise typer.Exit(Process(settings=parsed, reactor=reactor).run())


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()

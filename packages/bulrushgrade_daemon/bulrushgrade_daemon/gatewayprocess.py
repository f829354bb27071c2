"""A gateway's process: settings file, signals and exit code."""

from collections.abc import Callable
import signal
from typing import Any

from returns.result import Failure
from twisted import logger
from twisted.internet import error as internet_error

from bulrushgrade_daemon import adapter
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gateway as gateway_module
from bulrushgrade_daemon import gatewaysettings
from bulrushgrade_daemon import settings as settings_module
from bulrushgrade_daemon import task

EXIT_OK = 0
EXIT_BROKEN = 1
EXIT_BAD_SETTINGS = 2

BuildAdapter = Callable[[gatewaysettings.GatewaySettings, Any], adapter.Adapter]


def make_error_observer(
    log: decisionlog.DecisionLog,
) -> Callable[[dict[str, Any]], None]:
    """Returns an observer of Twisted's log that logs errors nobody handled."""

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            log.note("unhandled_error", reason=failure.getTraceback())

    return observe


class GatewayProcess:
    """Runs one gateway until a signal stops it."""

    def __init__(
        self,
        *,
        path: str,
        settings: gatewaysettings.GatewaySettings,
        build_adapter: BuildAdapter,
        reactor: Any,
        feature_aliases: gatewaysettings.FeatureAliases | None = None,
    ):
        """Creates the gateway without starting it.

        Args:
            path: The settings file, read again on SIGHUP.
            settings: The current content of the settings file.
            build_adapter: Builds the adapter from settings and reactor.
            reactor: The reactor.
            feature_aliases: The platform's names for features.
        """
        clock.use_steady_clock(reactor)
        self._path = path
        self._feature_aliases = feature_aliases
        self._reactor = reactor
        self._exit_code = EXIT_OK
        self._stopping = False
        self._gateway = gateway_module.Gateway(
            settings=settings,
            adapter=build_adapter(settings, reactor),
            reactor=reactor,
            on_broken=self._fail,
        )

    def run(self) -> int:
        """Runs until SIGTERM or SIGINT; returns the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._in_reactor(self._stop))
        signal.signal(signal.SIGHUP, self._in_reactor(self._reload))
        # A write to a closed connection must raise an error instead of
        # ending the process.
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        logger.globalLogPublisher.addObserver(
            make_error_observer(self._gateway.log)
        )
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _in_reactor(self, handle: Callable[[], None]) -> Any:
        return lambda number, frame: self._reactor.callFromThread(handle)

    def _start(self) -> None:
        task.spawn(self._start_gateway(), name="start", on_broken=self._fail)

    async def _start_gateway(self) -> None:
        try:
            await self._gateway.start()
        except internet_error.CannotListenError as error:
            self._fail(f"cannot listen on an address: {error}")

    def _stop(self) -> None:
        if not self._stopping:
            self._stopping = True
            task.spawn(self._stop_gateway(), name="stop", on_broken=self._fail)

    async def _stop_gateway(self) -> None:
        await self._gateway.stop()
        self._reactor.stop()

    def _reload(self) -> None:
        read = gatewaysettings.read_settings(self._path, self._feature_aliases)
        if isinstance(read, Failure):
            texts = [settings_module.format_error(e) for e in read.failure()]
            self._gateway.log.always("settings_refused", errors=texts)
            return
        self._gateway.reload(read.unwrap())

    def _fail(self, reason: str) -> None:
        self._gateway.log.always("broken_invariant", reason=reason)
        self._exit_code = EXIT_BROKEN
        if self._reactor.running:
            self._reactor.callLater(0, self._reactor.crash)


def run(
    *,
    path: str,
    build_adapter: BuildAdapter,
    reactor: Any,
    feature_aliases: gatewaysettings.FeatureAliases | None = None,
) -> int:
    """Runs the gateway of a settings file; returns the exit code.

    Args:
        path: The settings file.
        build_adapter: Builds the adapter from settings and reactor.
        reactor: The reactor.
        feature_aliases: The platform's names for features.
    """
    read = gatewaysettings.read_settings(path, feature_aliases)
    if isinstance(read, Failure):
        for error in read.failure():
            print(settings_module.format_error(error), flush=True)
        return EXIT_BAD_SETTINGS
    return GatewayProcess(
        path=path,
        settings=read.unwrap(),
        build_adapter=build_adapter,
        reactor=reactor,
        feature_aliases=feature_aliases,
    ).run()

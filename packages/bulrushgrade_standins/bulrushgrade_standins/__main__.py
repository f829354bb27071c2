"""Runs one stand-in as a process.

It prints one line of JSON with its address once it listens. On SIGTERM it
waits a limited time for the requests in flight and exits with code 0.
"""

from collections.abc import Callable
import json

from twisted.internet import defer
from twisted.internet import reactor
import typer

from bulrushgrade_standins import batch
from bulrushgrade_standins import change
from bulrushgrade_standins import engine
from bulrushgrade_standins import hostlist
from bulrushgrade_standins import link
from bulrushgrade_standins import log
from bulrushgrade_standins import plain
from bulrushgrade_standins import server
from bulrushgrade_standins import weights

_LISTEN = typer.Option("127.0.0.1:0", help="IP:PORT; port 0 takes a free one.")
_ADAPTERS = typer.Option([], help="An adapter; may be given repeatedly.")
# How long a stopping endpoint waits for requests in flight.
_STOP_LIMIT_S = 30.0
# When the work is done, the end of the last answer may still be in the buffer
# of its transport, and stopping the reactor would drop it.
_FLUSH_S = 0.2

app = typer.Typer(add_completion=False, no_args_is_help=True)


def _run(
    name: str,
    address: str,
    *,
    drain: Callable[[], defer.Deferred] | None = None,
    **more: str,
) -> None:
    """Prints the address of a listening stand-in and runs until SIGTERM."""
    line = json.dumps({"name": name, "address": address, **more})
    reactor.callWhenRunning(lambda: print(line, flush=True))
    if drain is not None:

        def finish() -> defer.Deferred:
            drained = drain()
            drained.addTimeout(_STOP_LIMIT_S, reactor)
            drained.addErrback(lambda _: None)
            return drained.addCallback(lambda _: server.sleep(_FLUSH_S))

        reactor.addSystemEventTrigger("before", "shutdown", finish)
    reactor.run()


@app.command("log")
def run_log(listen: str = _LISTEN, appends_per_s: float = 400.0) -> None:
    """Runs the log service."""
    service = log.LogService(appends_per_s=appends_per_s)
    _run("log", server.serve(app=service.app, listen=listen).address)


@app.command("hosts")
def run_hosts(listen: str = _LISTEN, lag_s: float = 0.0) -> None:
    """Runs the host list."""
    hosts = hostlist.HostList(lag_s=lag_s)
    _run("hosts", server.serve(app=hosts.app, listen=listen).address)


@app.command("engine")
def run_engine(
    listen: str = _LISTEN,
    role: str = "mixed",
    model: str = "model",
    version: str = "1",
    adapter: list[str] = _ADAPTERS,
    speed: float = 1.0,
    slots: int = 16,
    queue: int = 64,
    prefill_tokens_per_s: float = 8000.0,
    step_s: float = 0.02,
    kv_capacity_tokens: int = 262_144,
    load_lag_s: float = 0.2,
    cache_lag_s: float = 0.2,
    fencing: bool = True,
    overlap: bool = False,
    change_s: float = 3.0,
    weight_store: str = "",
) -> None:
    """Runs a model engine."""
    limits = batch.Limits(
        slots=slots,
        queue=queue,
        prefill_tokens_per_s=prefill_tokens_per_s,
        step_s=step_s,
        kv_capacity_tokens=kv_capacity_tokens,
    )
    start = change.Wanted(
        role=role, model=model, version=version, adapters=tuple(adapter)
    )
    changes = change.Settings(
        fencing=fencing,
        overlap=overlap,
        change_s=change_s,
        weights=weight_store,
    )
    settings = engine.EngineSettings(
        start=start,
        limits=limits,
        changes=changes,
        speed=speed,
        load_lag_s=load_lag_s,
        cache_lag_s=cache_lag_s,
    )
    running = engine.Engine(settings=settings)
    listener = server.serve(app=running.app, listen=listen)
    _run("engine", listener.address, drain=running.drain)


@app.command("plain")
def run_plain(listen: str = _LISTEN, work_s: float = 0.0) -> None:
    """Runs a plain service."""
    service = plain.PlainService(work_s=work_s)
    listener = server.serve(app=service.app, listen=listen)
    _run("plain", listener.address, drain=service.drain)


@app.command("weights")
def run_weights(listen: str = _LISTEN, downloads_per_s: float = 1.0) -> None:
    """Runs the weight store."""
    store = weights.WeightStore(downloads_per_s=downloads_per_s)
    _run("weights", server.serve(app=store.app, listen=listen).address)


@app.command("link")
def run_link(
    target: str, listen: str = _LISTEN, admin: str = "127.0.0.1:0"
) -> None:
    """Runs a relay to a target."""
    relay = link.Link(target=target)
    listener = relay.listen(listen)
    admin_address = server.serve(app=relay.app, listen=admin).address
    _run("link", listener.address, admin=admin_address)


if __name__ == "__main__":
    app()

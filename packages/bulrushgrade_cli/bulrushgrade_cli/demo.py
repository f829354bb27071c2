"""Runs the whole system in one process, with embedded stand-ins.

The log service, host list, weight store, two engines, a plain service and one
daemon share a reactor and communicate over loopback sockets, as separate
processes would.
"""

import json
import os
import signal
import sys
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet import error as internet_error

from bulrushgrade_cli import checking
from bulrushgrade_cli import demodocuments
from bulrushgrade_cli import outcome
from bulrushgrade_cli import publishing
from bulrushgrade_cli import running
from bulrushgrade_daemon import host
from bulrushgrade_daemon import keys
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import settings as settings_module
from bulrushgrade_standins import change
from bulrushgrade_standins import engine
from bulrushgrade_standins import hostlist
from bulrushgrade_standins import log
from bulrushgrade_standins import plain
from bulrushgrade_standins import server
from bulrushgrade_standins import weights

ZONE = "gebze-a"
REGION = "tr-marmara"
MODEL_SERVICE = "pack-llm"
PLAIN_SERVICE = "portal-app"
ROLES = ("prefill", "mixed")
ANY_LOOPBACK_PORT = "127.0.0.1:0"


@attrs.define(kw_only=True)
class _System:
    """The running parts of the demo.

    Attributes:
        listeners: The stand-ins by name; an engine's name is its role.
        daemon: The daemon.
        broken: Fires with the reason when the daemon fails.
    """

    listeners: dict[str, server.Listener]
    daemon: host.Daemon
    broken: defer.Deferred

    async def stop(self) -> None:
        """Stops the daemon after its open requests, then the stand-ins."""
        await self.daemon.kernel.stop()
        for listener in self.listeners.values():
            await listener.stop()


def run_demo(listen: str) -> outcome.Outcome:
    """Runs the demo until Ctrl-C.

    Args:
        listen: Address on which the daemon accepts callers, IP:PORT.
    """
    stopped = outcome.Outcome(
        code=outcome.DONE, text="stopped", value={"done": True}
    )
    return running.run(
        lambda reactor: _run(reactor, listen), interrupted=stopped
    )


async def _run(reactor: Any, listen: str) -> outcome.Outcome:
    system = _build_system(reactor, listen)
    try:
        await system.daemon.kernel.start()
    except internet_error.CannotListenError as error:
        return outcome.refuse(
            f"{error.interface}:{error.port} can't be opened:"
            f" {error.socketError.strerror}; --listen takes another address"
        )

    # Ctrl-C stops the reactor; requests in flight must finish before that.
    reactor.addSystemEventTrigger(
        "before",
        "shutdown",
        lambda: defer.Deferred.fromCoroutine(system.stop()),
    )
    client = logclient.LogClient(
        reactor=reactor, address=system.listeners["log"].address
    )
    for text in demodocuments.ALL:
        draft = checking.parse_draft(text, source="demo").unwrap()
        result = await publishing.publish(reactor, client, draft)
        if result.code != outcome.DONE:
            return result
    await client.stop()
    print(format_instructions(system.daemon, system.listeners), flush=True)
    reason = await system.broken
    return outcome.refuse(f"the daemon stopped: {reason}")


def _start_standins(
    reactor: Any,
) -> dict[str, server.Listener]:
    """Starts the stand-ins and fills the host list."""
    hosts = hostlist.HostList()
    listeners = {
        "log": server.serve(app=log.LogService().app),
        "hosts": server.serve(app=hosts.app),
        "weights": server.serve(app=weights.WeightStore().app),
        "plain": server.serve(app=plain.PlainService().app),
    }
    changes = change.Settings(weights=listeners["weights"].address)
    for role in ROLES:
        start = change.Wanted(
            role=role,
            model=demodocuments.MODEL,
            version=demodocuments.VERSION,
        )
        standin = engine.Engine(
            settings=engine.EngineSettings(start=start, changes=changes)
        )
        listeners[role] = server.serve(app=standin.app)
    entries = [_list_host(listeners["plain"], "plain", PLAIN_SERVICE)]
    for role in ROLES:
        entries.append(_list_host(listeners[role], "engine", MODEL_SERVICE))
    hosts.set_hosts(entries)
    return listeners


def _list_host(
    listener: server.Listener, kind: str, service: str
) -> dict[str, Any]:
    return {
        "address": listener.address,
        "kind": kind,
        "service": service,
        "zone": ZONE,
        "region": REGION,
        "state": "live",
        "peer": "",
        "fencing": kind == "engine",
    }


def _build_system(reactor: Any, listen: str) -> _System:
    listeners = _start_standins(reactor)
    broken: defer.Deferred = defer.Deferred()
    local = keys.parse_address(ANY_LOOPBACK_PORT, min_port=0)
    settings = settings_module.Settings(
        host=settings_module.Host(name="demo", zone=ZONE, region=REGION),
        listen=settings_module.Listen(
            callers=keys.parse_address(listen, min_port=0),
            admin=local,
            peers=local,
        ),
        platform=settings_module.Platform(
            log=keys.parse_address(listeners["log"].address),
            host_list=keys.parse_address(listeners["hosts"].address),
            weight_store=keys.parse_address(listeners["weights"].address),
        ),
        # No load balancer needs time to notice that the daemon stops.
        limits=settings_module.Limits(stop_grace_s=0.0, drain_limit_s=30.0),
    )
    daemon = host.build(
        settings, reactor, on_broken=lambda reason: broken.callback(reason)
    )
    return _System(listeners=listeners, daemon=daemon, broken=broken)


def format_instructions(
    daemon: host.Daemon, listeners: dict[str, server.Listener]
) -> str:
    """Returns the addresses and example commands that the demo prints.

    Args:
        daemon: The started daemon.
        listeners: The stand-ins by name.
    """
    callers, admin = daemon.callers.address, daemon.admin.address
    body = json.dumps(
        {
            "model": MODEL_SERVICE,
            "messages": [{"role": "user", "content": "Which pack grade?"}],
            "max_tokens": 12,
            "stream": True,
        }
    )
    # The path of the script in this environment, which may not be active.
    command = os.path.relpath(
        os.path.join(os.path.dirname(sys.executable), "bulrushgrade")
    )
    lines = [
        f"callers   http://{callers}",
        f"operators http://{admin}/dump and /metrics",
        f"log       {listeners['log'].address}",
        "",
        "Try a streamed answer:",
        f"  curl -N http://{callers}/v1/chat/completions"
        f" -H 'Content-Type: application/json' -d '{body}'",
        "A call to the plain service:",
        f"  curl http://{callers}/services/{PLAIN_SERVICE}/rooms",
        "What the daemon sees, and a document:",
        f"  {command} status --admin {admin}",
        f"  {command} show {MODEL_SERVICE} --log {listeners['log'].address}",
        "",
        _format_stop_instruction(),
    ]
    return "\n".join(lines)


def _format_stop_instruction() -> str:
    # A shell starts background jobs with SIGINT ignored.
    if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
        return "Ctrl-C is ignored in this process; SIGTERM stops it."
    return "Ctrl-C stops it."

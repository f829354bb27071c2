"""Puts the services of one daemon together."""

import random
import secrets
from typing import Any

import attrs

from bulrushgrade import kernel as kernel_module
from bulrushgrade import offering as offering_module
from bulrushgrade import scheduler
from bulrushgrade_daemon import admin
from bulrushgrade_daemon import callers
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import documents
from bulrushgrade_daemon import engine
from bulrushgrade_daemon import fleet
from bulrushgrade_daemon import hostlist
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import placing
from bulrushgrade_daemon import plain
from bulrushgrade_daemon import plainrelay
from bulrushgrade_daemon import relay
from bulrushgrade_daemon import settings as settings_module

INCARNATION_BYTES = 4


@attrs.frozen(kw_only=True)
class Daemon:
    """A daemon that has been put together.

    Attributes:
        kernel: Starts, stops and dumps its services.
        callers: Its address for callers.
        admin: Its address for operators.
    """

    kernel: kernel_module.Kernel
    callers: callers.Callers
    admin: admin.Admin


def build(
    settings: settings_module.Settings,
    reactor: Any,
    *,
    on_broken: Any,
    rng: random.Random | None = None,
) -> Daemon:
    """Returns a daemon that has not been started.

    Args:
        settings: Its settings.
        reactor: The reactor that it runs in.
        on_broken: Called with the reason when an invariant is broken; must
            stop the process.
        rng: Source of every random choice; seeded by the system by default.
    """
    rng = rng or random.Random(secrets.randbits(64))
    kernel = kernel_module.Kernel(
        call_soon=lambda work: reactor.callLater(0, work),
        on_broken=on_broken,
    )
    builder = _Builder(
        settings=settings, reactor=reactor, kernel=kernel, rng=rng
    )
    return builder.build()


class _Builder:
    """Makes the services in order and registers them."""

    def __init__(self, *, settings, reactor, kernel, rng):
        self._settings = settings
        self._reactor = reactor
        self._kernel = kernel
        self._rng = rng
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)

    def build(self) -> Daemon:
        self._add_platform()
        self._add_placing()
        self._add_documents()
        front = self._add_callers()
        operators = self._add_admin()
        return Daemon(kernel=self._kernel, callers=front, admin=operators)

    def _add(self, service: Any) -> Any:
        self._kernel.register(service)
        return service

    def _add_platform(self) -> None:
        platform = self._settings.platform
        self._add(metrics.Metrics())
        self._timers = self._add(clock.TimerService(reactor=self._reactor))
        self._log = self._add(
            logclient.LogClient(
                reactor=self._reactor, address=str(platform.log)
            )
        )
        self._hosts = self._add(
            hostlist.HostList(
                reactor=self._reactor,
                timers=self._timers,
                address=str(platform.host_list),
                period_s=platform.host_list_period_s,
                on_hosts=self._on_hosts,
            )
        )

    def _add_placing(self) -> None:
        self._engines = self._add(engine.EngineClient(reactor=self._reactor))
        self._plain = self._add(plain.PlainClient(reactor=self._reactor))
        core = scheduler.Scheduler(zone=self._settings.host.zone, rng=self._rng)
        self._placing = self._add(
            placing.Placing(timers=self._timers, core=core)
        )
        self._add(
            fleet.Fleet(
                timers=self._timers,
                engines=self._engines,
                kernel=self._kernel,
            )
        )

    def _add_documents(self) -> None:
        self._documents = self._add(
            documents.Documents(
                timers=self._timers,
                log=self._log,
                rng=self._rng,
                on_accepted=self._on_accepted,
                on_broken=self._kernel.fail,
            )
        )

    def _add_callers(self) -> callers.Callers:
        model_relay = self._add(
            relay.Relay(
                timers=self._timers,
                engines=self._engines,
                place=self._placing,
            )
        )
        plain_relay = self._add(
            plainrelay.PlainRelay(
                timers=self._timers, client=self._plain, place=self._placing
            )
        )
        parts = callers.Parts(
            timers=self._timers,
            relay=model_relay,
            plain=plain_relay,
            offering=lambda: self._documents.offering,
            ready=self._not_ready,
            on_broken=self._kernel.fail,
        )
        return self._add(
            callers.Callers(
                reactor=self._reactor,
                settings=self._settings,
                incarnation=self._incarnation,
                parts=parts,
            )
        )

    def _add_admin(self) -> admin.Admin:
        return self._add(
            admin.Admin(
                reactor=self._reactor,
                listen=self._settings.listen.admin,
                dump=self._kernel.dump,
                render_metrics=self._kernel.find("metrics").render,
            )
        )

    def _on_hosts(self, hosts: hostlist.HostsRead) -> None:
        for name in ("placing", "fleet"):
            self._kernel.send(name, hosts)

    def _on_accepted(self, offering: offering_module.Offering) -> None:
        self._placing.set_policies(offering.policies())

    def _not_ready(self) -> str | None:
        if self._documents.not_ready is not None:
            return self._documents.not_ready
        return None if self._hosts.known else "no host list has been read"

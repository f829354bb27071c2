"""A cluster of daemons that compete for a lease, for tests of failures.

It extends `scene.Scene` by daemons on the host list, short leases, records
that are written to the control stream in place of a holder, and the orders
that engines and daemons report.
"""

from collections.abc import Iterable
import itertools
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import Any
import urllib.parse

import attrs
import processes
import scene

from bulrushgrade import document
from bulrushgrade import leaselog
from bulrushgrade import orderlog
from bulrushgrade import publication

GROUP = "assistant.metter-hall"
STREAM = f"control.{GROUP}"
TTL_S = 1.5
GUARD_S = 0.2
PAUSE_ALLOWANCE_S = 1.0
_AUTHORITY = f"""
[authority]
groups = {GROUP}
lease_ttl_s = {TTL_S}
lease_guard_s = {GUARD_S}
pause_allowance_s = {PAUSE_ALLOWANCE_S}
"""


@attrs.frozen(kw_only=True)
class CommandResult:
    """The exit code and output of a command."""

    code: int
    text: str

    @property
    def json(self) -> Any:
        """The output of a command with ``--json``."""
        return json.loads(self.text)


class Cluster:
    """A scene whose daemons are listed and compete for a lease."""

    def __init__(
        self, *, started: processes.Processes, directory: pathlib.Path
    ):
        self._started = started
        self._directory = directory
        self._scene = scene.Scene(started=started, directory=directory)
        self._numbers = itertools.count()

    @property
    def started(self) -> processes.Processes:
        """The processes of the test; starts further ones."""
        return self._started

    @property
    def log(self) -> str:
        """The log service's address."""
        return self._scene.log

    def start_daemon(self, log: str = "") -> processes.Process:
        """Starts a daemon that may hold the lease, without waiting for it."""
        name = f"holder-{next(self._numbers)}"
        file = scene.write_settings(
            self._directory,
            name=name,
            log=log or self.log,
            hosts=self._scene.hosts,
            grace_s=0.1,
            more=_AUTHORITY,
        )
        return self._started.start("bulrushgrade_daemon", "--settings", file)

    def list_hosts(
        self,
        daemons: Iterable[processes.Process] = (),
        engines: Iterable[str] = (),
        plains: Iterable[str] = (),
        *,
        fencing: bool = True,
    ) -> None:
        """Sets the host list."""
        hosts = [
            _make_host(
                d.ready["callers"], "entry", "", dump(d, "peers")["address"]
            )
            for d in daemons
        ]
        hosts += [
            _make_host(a, "engine", "assistant", fencing=fencing)
            for a in engines
        ]
        hosts += [_make_host(a, "plain", "ledger") for a in plains]
        answer = processes.call(
            "PUT", self._scene.hosts, "/hosts", {"hosts": hosts}
        )
        assert answer.code == 200

    def append(self, stream: str, body: bytes) -> int:
        """Appends one record directly to the log; returns its offset."""
        record = {"id": f"test-{next(self._numbers)}", "body": body.decode()}
        answer = processes.call(
            "POST", self.log, path_of(stream), {"records": [record]}
        )
        assert answer.code == 200, answer.body
        return answer.json["offsets"][0]

    def append_claim(self) -> int:
        """Appends a claim of the unheld group for a holder that doesn't run."""
        claim = leaselog.Claim(holder="gone", after_offset=-1)
        return self.append(STREAM, leaselog.CODEC.serialize(claim))

    def append_intent(
        self,
        engine: str,
        role: str,
        term: int,
        *,
        adapters: tuple[str, ...] = (),
    ) -> str:
        """Appends an order to the log as the holder of a term would.

        Returns:
            The order's id.
        """
        order_id = f"order-{next(self._numbers)}"
        page = processes.call("GET", self.log, path_of(STREAM)).json
        intent = orderlog.Intent(
            engine=engine,
            order_id=order_id,
            wanted=orderlog.Wanted(
                role=role, model="model", version="1", adapters=adapters
            ),
            term=term,
            after_offset=page["end_offset"] - 1,
        )
        self.append(STREAM, orderlog.CODEC.serialize(intent))
        return order_id

    def publish(self, service: str, text: str, **options: Any) -> int:
        """Appends a publish directly to the log; returns its offset."""
        message = publication.Publish(
            service=service,
            team=options.get("team", "operators"),
            base_offset=options.get("base"),
            text=text,
            validation=document.LATEST_VALIDATION,
        )
        return self.append(
            publication.STREAM, publication.CODEC.serialize(message)
        )

    def read(self, stream: str) -> list[dict[str, Any]]:
        """Returns the records of a stream on the log."""
        path = path_of(stream) + "?limit=1000"
        return processes.call("GET", self.log, path).json["records"]

    def start_command(
        self, *arguments: str, log: str = ""
    ) -> subprocess.Popen[str]:
        """Starts a command of the command-line program."""
        env = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
        env["BULRUSHGRADE_LOG"] = log or self.log
        return subprocess.Popen(
            [sys.executable, "-m", "bulrushgrade_cli", *arguments],
            stdout=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
            env=env,
        )


def _make_host(
    address: str,
    kind: str,
    service: str,
    peer: str = "",
    *,
    fencing: bool = True,
) -> dict[str, Any]:
    return {
        "address": address,
        "kind": kind,
        "service": service,
        "zone": "metter-hall",
        "region": "coastal-plain",
        "state": "live",
        "peer": peer,
        "fencing": fencing,
    }


def path_of(stream: str) -> str:
    """Returns the log service's path for a stream."""
    return f"/streams/{urllib.parse.quote(stream)}/records"


def finish(
    command: subprocess.Popen[str], limit_s: float = 60.0
) -> CommandResult:
    """Waits for a command and returns its result."""
    try:
        text, _ = command.communicate(timeout=limit_s)
    except subprocess.TimeoutExpired:
        command.kill()
        command.communicate()
        raise
    return CommandResult(code=command.returncode, text=text)


def dump(daemon: processes.Process, service: str) -> Any:
    """Returns the dump of one service of a daemon."""
    answer = processes.call("GET", daemon.ready["admin"], f"/dump/{service}")
    return answer.json


def read_group(daemon: processes.Process) -> dict[str, Any]:
    """Returns the state of the group in a daemon's dump."""
    return dump(daemon, "authority")["groups"][GROUP]


def find_holders(
    daemons: Iterable[processes.Process],
) -> list[processes.Process]:
    """Returns the daemons that report to hold the group's lease."""
    return [d for d in daemons if read_group(d)["acting"]]


def wait_holder(daemons: Iterable[processes.Process]) -> processes.Process:
    """Waits until one of these daemons holds the lease, and returns it."""
    daemons = list(daemons)
    (holder,) = processes.wait_for(lambda: find_holders(daemons))
    return holder


def read_orders(engine: str) -> list[dict[str, Any]]:
    """Returns the orders that an engine has accepted."""
    return processes.call("GET", engine, "/ledger").json["orders"]


def read_load(engine: str) -> dict[str, Any]:
    """Returns the load report of an engine."""
    return processes.call("GET", engine, "/load").json


def wait_settled(
    daemon: processes.Process, engine: str, role: str, *, order_id: str = ""
) -> None:
    """Waits until an engine has a role and no order is unfinished.

    Args:
        daemon: The daemon whose dump shows the unfinished orders.
        engine: The engine's address.
        role: The role.
        order_id: If given, the order that the engine must report as its last.
    """

    def settled() -> bool:
        load = read_load(engine)
        if (load["state"], load["role"]) != ("serving", role):
            return False
        if order_id and load["order_id"] != order_id:
            return False
        return not read_group(daemon)["unfinished"]

    processes.wait_for(settled)


def assert_no_overlap(engine: str) -> None:
    """Asserts that an engine never carried out two orders at once."""
    held = sorted(read_orders(engine), key=lambda each: each["from_s"])
    for first, second in itertools.pairwise(held):
        assert first["until_s"] is not None, held
        assert first["until_s"] <= second["from_s"], held


def sleep_until(at_s: float) -> None:
    """Sleeps until a time, for tests that are about time, such as a TTL."""
    time.sleep(max(0.0, at_s - time.monotonic()))

"""Daemons that hold authority over engines, for the tests of failures.

It adds to `scene.Scene` what those tests need: daemons on the host list,
short leases, records written to the control stream as a holder would, and
what engines and daemons say of orders.
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
    """How a command of the command line ended."""

    code: int
    text: str

    @property
    def json(self) -> Any:
        """What it printed with ``--json``."""
        return json.loads(self.text)


class Cluster:
    """A scene whose daemons are listed and seek authority."""

    def __init__(
        self, *, started: processes.Processes, directory: pathlib.Path
    ):
        self._started = started
        self._directory = directory
        self._scene = scene.Scene(started=started, directory=directory)
        self._numbers = itertools.count()

    @property
    def started(self) -> processes.Processes:
        """Starts further processes."""
        return self._started

    @property
    def log(self) -> str:
        """The log service's address."""
        return self._scene.log

    def start_daemon(self, log: str = "") -> processes.Process:
        """Starts a daemon that may hold the group, without waiting for it."""
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
        """Appends one record past every daemon; returns its offset."""
        record = {"id": f"test-{next(self._numbers)}", "body": body.decode()}
        answer = processes.call(
            "POST", self.log, path_of(stream), {"records": [record]}
        )
        assert answer.code == 200, answer.body
        return answer.json["offsets"][0]

    def append_claim(self) -> int:
        """Claims the empty group for a holder that runs nowhere."""
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
        """Puts an order on the log as the holder of a term would.

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
        """Publishes a document past the command line; returns its offset."""
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
        """Returns the records that the log has of a stream."""
        path = path_of(stream) + "?limit=1000"
        return processes.call("GET", self.log, path).json["records"]

    def start_command(
        self, *arguments: str, log: str = ""
    ) -> subprocess.Popen[str]:
        """Starts a command of the command line."""
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
    """Waits for a command and returns how it ended."""
    try:
        text, _ = command.communicate(timeout=limit_s)
    except subprocess.TimeoutExpired:
        command.kill()
        command.communicate()
        raise
    return CommandResult(code=command.returncode, text=text)


def dump(daemon: processes.Process, service: str) -> Any:
    """Returns one service's state of a daemon."""
    answer = processes.call("GET", daemon.ready["admin"], f"/dump/{service}")
    return answer.json


def read_group(daemon: processes.Process) -> dict[str, Any]:
    """Returns what a daemon says of the group."""
    return dump(daemon, "authority")["groups"][GROUP]


def find_holders(
    daemons: Iterable[processes.Process],
) -> list[processes.Process]:
    """Returns the daemons that say that they act for the group."""
    return [d for d in daemons if read_group(d)["acting"]]


def wait_holder(daemons: Iterable[processes.Process]) -> processes.Process:
    """Waits until one of these daemons acts, and returns it."""
    daemons = list(daemons)
    (holder,) = processes.wait_for(lambda: find_holders(daemons))
    return holder


def read_orders(engine: str) -> list[dict[str, Any]]:
    """Returns the orders that an engine has held."""
    return processes.call("GET", engine, "/ledger").json["orders"]


def read_load(engine: str) -> dict[str, Any]:
    """Returns what an engine says of itself."""
    return processes.call("GET", engine, "/load").json


def wait_settled(
    daemon: processes.Process, engine: str, role: str, *, order_id: str = ""
) -> None:
    """Waits until an engine has a role and no order of it is unfinished.

    Args:
        daemon: Whose word counts for what is unfinished.
        engine: The engine's address.
        role: The role.
        order_id: The order that has to be the last one, if given.
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
    """Checks that an engine never held two orders at the same time."""
    held = sorted(read_orders(engine), key=lambda each: each["from_s"])
    for first, second in itertools.pairwise(held):
        assert first["until_s"] is not None, held
        assert first["until_s"] <= second["from_s"], held


def sleep_until(at_s: float) -> None:
    """Lets time pass that is itself what a test is about, such as a TTL."""
    time.sleep(max(0.0, at_s - time.monotonic()))

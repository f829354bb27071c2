"""Starts gateways and stand-ins as processes on loopback, for one case.

Gateways run with the command of ``deploy/system.toml`` and settings like those
that ``platform/settings.ini.template`` gives for the first small site. A case
exits with 1 if the rule was broken, 0 if it held and 2 if it couldn't run.
"""

import atexit
from collections.abc import Callable
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from typing import Any
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[3]
GATEWAY = ["python3", "-OO", "-m", "bulrushgrade_platform"]
HOSTNAME = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_S = 20.0
LIMIT_S = 118
PORTS = range(12_000, 32_000)

_ports = random.SystemRandom()
_drawn_ports: set[int] = set()

SETTINGS = """\
[host]
name = {name}
zone = {zone}

[listen]
callers = {ip}:{callers}
ready = {ip}:{ready}
admin = {ip}:{first}
peers = {ip}:{first}
relay = {ip}:{last}

[store]
address = {store}

[bounds]
drain_s = 2000e-3
configuration_s = 2000e-3
contact_s = 3000e-3
stop_s = 8
retry_ratio = 0.2
retry_extra = 52
retry_window_s = 10
order_lease_s = 3000e-3

[features]
enabled = base,drain,config,cost,retry,recover,split,stream,engine,platform

[limits]
descriptors = 4100
"""

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ENGINE = {
    "slots": 64,
    "kv_capacity_tokens": 478164,
    "kv_token_bytes": 18432,
    "link_mbps": 180000.0,
    "kv_hold_s": 5.0,
    "role_switch_s": 3.0,
}
SERVICES = [
    {"name": "portal-app", "max_connections": 96},
    {"name": "pack-llm", "max_connections": 360, "engine": ENGINE},
]


def make_route(path_prefix: str, service: str, kind: str, **more: Any) -> dict:
    """Returns a route of the configuration."""
    route = {
        "name": f"r{path_prefix}",
        "hostname": HOSTNAME,
        "path_prefix": path_prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "sticky": False,
        "resumable": False,
    }
    return route | more


ROUTES = [
    make_route("/book/", "portal-app", "non_idempotent"),
    make_route("/confirm/", "portal-app", "idempotent"),
    make_route(
        "/grade/",
        "pack-llm",
        "streaming",
        sticky=True,
        max_attempts=1,
        timeout_ms=5000,
        target_latency_ms=800,
        gap_aim_ms=400,
    ),
    make_route(
        "/tag/",
        "pack-llm",
        "streaming",
        sticky=True,
        resumable=True,
        gap_aim_ms=400,
    ),
]


class Process:
    """A started process."""

    def __init__(self, popen: subprocess.Popen, *, name: str):
        self.popen = popen
        self.name = name
        self.address = ""

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while it runs."""
        return self.popen.poll()

    def kill(self, number: int = signal.SIGKILL) -> None:
        """Sends a signal to the process."""
        if self.popen.poll() is None:
            self.popen.send_signal(number)


class Gateway(Process):
    """A gateway with its addresses."""

    callers = ""
    ready = ""
    admin = ""

    @property
    def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            return call("GET", self.ready, "/readiness")[0] == 200
        except OSError:
            return False


class Scene:
    """The processes of one case, and its record."""

    def __init__(self, record_file: pathlib.Path):
        self.record_file = record_file
        self.record_file.write_text("", encoding="utf-8")
        self.began_at = time.time()
        self._processes: list[Process] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._version = 0
        atexit.register(self.stop)
        self.store: Process | None = None

    @property
    def temporary(self) -> pathlib.Path:
        """A folder that is deleted at the end."""
        return pathlib.Path(self._temporary.name)

    def record(self, what: str, **fields: Any) -> None:
        """Writes a line to the record."""
        at = time.time() - self.began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with open(self.record_file, "a", encoding="utf-8") as stream:
            stream.write(f"{at:8.3f} {what} {text}".rstrip() + "\n")

    def start(self, module: str, *options: str) -> Process:
        """Starts a stand-in, which prints its address."""
        environment = _make_environment(ROOT / "target/review")
        popen = subprocess.Popen(
            ["python3", "-m", module, *options],
            cwd=ROOT,
            env=environment,
            stdout=subprocess.PIPE,
        )
        process = Process(popen, name=module)
        self._processes.append(process)
        process.address = json.loads(popen.stdout.readline())["address"]
        return process

    def start_store(self) -> None:
        """Starts the stand-in of the platform's store."""
        self.store = self.start("bulrushgrade_platform_standins", "store")

    def start_runner(
        self,
        id: str,
        service: str,
        stage: str = "plain",
        *options: str,
        zone: str = "gebze-a",
    ) -> Process:
        """Starts a runner and registers it."""
        runner = self.start(
            "review_standins.runner",
            "--id",
            id,
            "--stage",
            stage,
            "--ledger",
            str(self.temporary / "ledger.jsonl"),
            *options,
        )
        entry = make_entry(service, runner.address, stage, zone=zone)
        self.put("keyed.servers", id, entry)
        self.record("runner", id=id, service=service, stage=stage)
        return runner

    def put(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as the operator or a runner does."""
        wanted = {"topic": topic, "key": key, "value": json.dumps(value)}
        call("POST", self.store.address, "/standin/put", wanted)

    def control_store(self, control: str, **wanted: Any) -> Any:
        """Calls a control of the store's stand-in."""
        path = f"/standin/{control}"
        return json.loads(call("POST", self.store.address, path, wanted)[1])

    def configure(self, routes: list[dict] = ROUTES) -> None:
        """Writes a configuration."""
        self._version += 3
        value = {
            "version": self._version,
            "routes": routes,
            "services": SERVICES,
            "limits": LIMITS,
        }
        self.put("keyed.op", "config", value)

    def start_gateway(
        self, name: str, *, zone: str = "gebze-a", store: str | None = None
    ) -> Gateway:
        """Starts a gateway; doesn't wait until it is ready."""
        ports = _free_ports(4)
        settings = SETTINGS.format(
            name=name,
            zone=zone,
            ip="127.0.0.1",
            callers=ports[0],
            ready=ports[1],
            first=ports[2],
            last=ports[3],
            store=store or self.store.address,
        )
        path = self.temporary / f"{name}.ini"
        path.write_text(settings, encoding="utf-8")
        return self._run_gateway(name, path, ports)

    def _run_gateway(
        self, name: str, path: pathlib.Path, ports: list[int]
    ) -> Gateway:
        environment = _make_environment()
        environment["BULRUSHGRADE_NODE_FILE"] = str(path)
        log = open(self.temporary / f"{name}.log", "ab")  # noqa: SIM115
        popen = subprocess.Popen(
            GATEWAY, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        gateway = Gateway(popen, name=name)
        gateway.callers = f"127.0.0.1:{ports[0]}"
        gateway.ready = f"127.0.0.1:{ports[1]}"
        gateway.admin = f"127.0.0.1:{ports[2]}"
        gateway.path, gateway.ports = path, ports
        self._processes.append(gateway)
        return gateway

    def start_again(self, gateway: Gateway) -> Gateway:
        """Starts an ended gateway again, with the same settings."""
        return self._run_gateway(gateway.name, gateway.path, gateway.ports)

    def wait_until_ready(self, *gateways: Gateway) -> None:
        """Waits until gateways say that they are ready."""
        for gateway in gateways:
            wait_for(lambda gateway=gateway: gateway.is_ready, START_S)
            self.record("ready", gateway=gateway.name)

    def read_ledger(self, what: str | None = None) -> list[dict]:
        """Returns what the runners got."""
        path = self.temporary / "ledger.jsonl"
        if not path.exists():
            return []
        found = [json.loads(line) for line in path.read_text().splitlines()]
        return [entry for entry in found if what in (None, entry["what"])]

    def read_log(self, gateway: Gateway, *texts: str) -> list[str]:
        """Returns the lines of a gateway's log that have one of the texts."""
        path = self.temporary / f"{gateway.name}.log"
        lines = path.read_text(errors="replace").splitlines()
        return [line for line in lines if any(text in line for text in texts)]

    def stop(self) -> None:
        """Kills all processes that were started."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.popen.wait(10)
        self._processes.clear()


def make_entry(
    service: str, address: str, stage: str, *, zone: str = "gebze-a"
) -> dict[str, Any]:
    """Returns a runner's entry in the platform's store."""
    entry = {
        "service": service,
        "address": address,
        "zone": zone,
        "version": 1,
        "slots": 64 if stage != "plain" else 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return entry if stage == "plain" else entry | {"stage": stage}


def call(
    method: str, address: str, path: str, value: Any = None
) -> tuple[int, bytes]:
    """Sends one request; returns status and body.

    Raises:
        OSError: There was no answer.
    """
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if value is None else json.dumps(value).encode(),
        headers={"Content-Type": "application/json"},
    )
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def send(
    address: str,
    path: str,
    id: str,
    *,
    method: str = "POST",
    body: bytes = b"x",
    deadline_ms: int = 3000,
    headers: dict[str, str] | None = None,
) -> tuple[int | None, dict[str, str], bytes, bool]:
    """Sends a client's request; returns status, headers, body, is whole."""
    sent = {
        "Host": HOSTNAME,
        "X-Request-Id": id,
        "X-Deadline-Ms": str(deadline_ms),
    } | (headers or {})
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=deadline_ms / 1000 + 1
    )
    status, found, data, is_whole = None, {}, b"", False
    try:
        connection.request(method, path, body=body, headers=sent)
        response = connection.getresponse()
        status = response.status
        found = {n.lower(): v for n, v in response.getheaders()}
        data = response.read()
        is_whole = True
    except http.client.IncompleteRead as error:
        data = error.partial
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    return status, found, data, is_whole


def wait_for(condition: Callable[[], Any], limit_s: float) -> Any:
    """Polls a condition until it is true; returns its last result.

    Raises:
        TimeoutError: It did not become true in time.
    """
    end = time.monotonic() + limit_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > end:
            raise TimeoutError("the condition did not become true")
        time.sleep(0.05)


def run(case: Callable[[Scene], bool], record_file: pathlib.Path) -> None:
    """Runs a case, which returns whether the rule held; exits.

    Args:
        case: The case.
        record_file: The file that gets what was sent, answered and run.
    """
    # An exit, unlike the default action, ends the processes that were started.
    ending = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)
    for number in ending:
        signal.signal(number, lambda *_: sys.exit(2))
    signal.alarm(LIMIT_S)
    scene = Scene(record_file)
    try:
        holds = case(scene)
    except Exception:
        scene.record("could not run", error=traceback.format_exc())
        traceback.print_exc()
        scene.stop()
        sys.exit(2)
    verdict = "the rule held" if holds else "the rule was broken"
    scene.record(verdict, trouble=TROUBLE)
    print(verdict)
    scene.stop()
    sys.exit(0 if holds else 1)


def _make_environment(*folders: pathlib.Path) -> dict[str, str]:
    kept = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    paths = [ROOT / "target/deps", *folders]
    kept["PYTHONPATH"] = os.pathsep.join(map(str, paths))
    kept["PYTHONDONTWRITEBYTECODE"] = "1"
    return kept


def _free_ports(count: int) -> list[int]:
    """Returns ports that are free for TCP and UDP.

    They are below those that the system picks for outgoing connections, one of
    which could take the port of a gateway that starts again.
    """
    found: list[int] = []
    while len(found) < count:
        port = _ports.choice(PORTS)
        if port in _drawn_ports:
            continue
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
        _drawn_ports.add(port)
        found.append(port)
    return found

"""Starts daemons and stand-ins as processes of their own, for tests.

Every process prints one line of JSON once it listens; the helpers wait for
that line, and end what they started by process id, whatever the test does.
"""

from collections.abc import Iterator
import contextlib
import json
import os
import selectors
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

import attrs

# Generous, since the machine may be busy; a wait ends with its event.
LIMIT_S = 30.0
_POLL_S = 0.02


@attrs.define(kw_only=True)
class Process:
    """A process that was started.

    Attributes:
        popen: The process.
        ready: What it printed once it listened.
    """

    popen: subprocess.Popen
    ready: dict[str, Any]

    @property
    def address(self) -> str:
        """Where it listens, as ``IP:PORT``."""
        return self.ready["address"]

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def wait(self, limit_s: float = LIMIT_S) -> int:
        """Returns the exit code once the process has ended."""
        return self.popen.wait(limit_s)


@attrs.frozen(kw_only=True)
class Answer:
    """An HTTP answer.

    Attributes:
        code: The status.
        headers: The headers, with lower-case names.
        body: The whole body.
    """

    code: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


class Processes:
    """The processes of one test."""

    def __init__(self):
        self._started: list[Process] = []

    def standin(self, name: str, *options: str) -> Process:
        """Starts a stand-in and waits until it listens."""
        return self.start("bulrushgrade_standins", name, *options)

    def start(self, module: str, *arguments: str) -> Process:
        """Runs a module and waits for its line of JSON."""
        env = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
        popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            env=env,
        )
        process = Process(popen=popen, ready={})
        self._started.append(process)
        process.ready = json.loads(_read_line(popen))
        return process

    def stop(self) -> None:
        """Ends every process that still runs."""
        for process in self._started:
            if process.popen.poll() is None:
                process.popen.kill()
            process.popen.wait(LIMIT_S)
            process.popen.stdout.close()


@contextlib.contextmanager
def running() -> Iterator[Processes]:
    """Gives processes to start and ends them at the end of the block."""
    processes = Processes()
    try:
        yield processes
    finally:
        processes.stop()


def _read_line(popen: subprocess.Popen) -> bytes:
    with selectors.DefaultSelector() as selector:
        selector.register(popen.stdout, selectors.EVENT_READ)
        if not selector.select(LIMIT_S):
            raise TimeoutError(f"{popen.args} printed nothing")
    return popen.stdout.readline()


def call(
    method: str,
    address: str,
    path: str,
    value: Any = None,
    *,
    limit_s: float = LIMIT_S,
    **headers: str,
) -> Answer:
    """Sends one request on a connection of its own.

    Raises:
        OSError: The connection failed or was reset.
        http.client.HTTPException: The answer broke off.
    """
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if value is None else json.dumps(value).encode(),
        headers={
            name.replace("_", "-"): text for name, text in headers.items()
        },
    )
    try:
        response = urllib.request.urlopen(request, timeout=limit_s)
    except urllib.error.HTTPError as error:
        response = error
    with response:
        names = {n.lower(): text for n, text in response.headers.items()}
        return Answer(code=response.status, headers=names, body=response.read())


def wait_for(condition: Any, limit_s: float = LIMIT_S) -> Any:
    """Calls a condition until it is true, and returns what it returned."""
    end_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end_s:
            raise TimeoutError("the condition did not come true")
        time.sleep(_POLL_S)

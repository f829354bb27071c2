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
import threading
import time
from typing import Any
import urllib.error
import urllib.request

import attrs

# Generous, since the machine may be busy; a wait ends with its event.
LIMIT_S = 30.0
_POLL_S = 0.02


class Process:
    """A process that was started."""

    def __init__(self, *, popen: subprocess.Popen):
        self._popen = popen
        self._ready: dict[str, Any] = {}
        self._reading = threading.Lock()

    @property
    def ready(self) -> dict[str, Any]:
        """What it prints once it listens; waits for that.

        Several processes started in a row thus come up at the same time.
        """
        # Of two threads that both saw the line come, one would wait for a
        # second line that never does.
        with self._reading:
            if not self._ready:
                self._ready = json.loads(_read_line(self._popen))
        return self._ready

    @property
    def address(self) -> str:
        """Where a stand-in listens, as ``IP:PORT``."""
        return self.ready["address"]

    @property
    def has_ended(self) -> bool:
        """Whether the process is no longer there."""
        return self._popen.poll() is not None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._popen.send_signal(number)

    def wait(self, limit_s: float = LIMIT_S) -> int:
        """Returns the exit code once the process has ended."""
        return self._popen.wait(limit_s)

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self._popen.poll() is None:
            # A stopped process is killed too; it need not be continued.
            self._popen.kill()
        self._popen.wait(LIMIT_S)
        self._popen.stdout.close()


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
        """Starts a stand-in."""
        return self.start("bulrushgrade_standins", name, *options)

    def start(self, module: str, *arguments: str) -> Process:
        """Runs a module that prints a line of JSON once it listens."""
        env = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
        popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            env=env,
        )
        process = Process(popen=popen)
        self._started.append(process)
        return process

    def stop(self) -> None:
        """Ends every process that still runs."""
        for process in self._started:
            process.end()


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
    line = popen.stdout.readline()
    if not line:
        raise RuntimeError(f"{popen.args} ended before it listened")
    return line


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
    sent = {name.replace("_", "-"): text for name, text in headers.items()}
    sent.setdefault("Content-Type", "application/json")
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if value is None else json.dumps(value).encode(),
        headers=sent,
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

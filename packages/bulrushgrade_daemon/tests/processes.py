"""Runs daemons and stand-ins as separate processes, for tests.

Each process prints a line of JSON once it listens. The helpers wait for that
line, and always kill the processes that they started, by process id.
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

# A long timeout, as the machine may be busy; waits end as soon as the event
# occurs.
LIMIT_S = 30.0
_POLL_S = 0.02


class Process:
    """A started process."""

    def __init__(self, *, popen: subprocess.Popen):
        self._popen = popen
        self._ready: dict[str, Any] = {}
        self._reading = threading.Lock()

    @property
    def ready(self) -> dict[str, Any]:
        """The JSON that the process prints once it listens; waits for it.

        As the wait is here, several processes can start up concurrently.
        """
        # Without the lock, two threads could both wait for the line, and one
        # of them would wait for a second line that is never printed.
        with self._reading:
            if not self._ready:
                self._ready = json.loads(_read_line(self._popen))
        return self._ready

    @property
    def address(self) -> str:
        """The address that a stand-in listens on, as ``IP:PORT``."""
        return self.ready["address"]

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None while it runs."""
        return self._popen.poll()

    @property
    def has_ended(self) -> bool:
        """Whether the process has exited."""
        return self._popen.poll() is not None

    def copy_output(self, path: str) -> None:
        """Appends what the process prints to a file."""

        def copy() -> None:
            # A process that is ended meanwhile has its output closed.
            with contextlib.suppress(OSError, ValueError, RuntimeError):
                first = json.dumps(self.ready) + "\n"
                with open(path, "ab") as stream:
                    stream.write(first.encode())
                    for line in self._popen.stdout:
                        stream.write(line)
                        stream.flush()

        threading.Thread(target=copy, daemon=True).start()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._popen.send_signal(number)

    def wait(self, limit_s: float = LIMIT_S) -> int:
        """Waits for the process to exit and returns its exit code."""
        return self._popen.wait(limit_s)

    def end(self) -> None:
        """Kills the process if it is still running."""
        if self._popen.poll() is None:
            # SIGKILL also ends a process that is stopped by SIGSTOP.
            self._popen.kill()
        self._popen.wait(LIMIT_S)
        self._popen.stdout.close()


@attrs.frozen(kw_only=True)
class Answer:
    """An HTTP answer.

    Attributes:
        code: The HTTP status.
        headers: The headers, with lower-case names.
        body: The complete body.
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
        """Runs a Python module that prints a line of JSON once it listens."""
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
        """Kills every process that is still running."""
        for process in self._started:
            process.end()


@contextlib.contextmanager
def running() -> Iterator[Processes]:
    """Yields an object to start processes with; kills them at the end."""
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
        raise RuntimeError(f"{popen.args} exited before it listened")
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
    """Sends one request on a new connection.

    Raises:
        OSError: The connection failed or was reset.
        http.client.HTTPException: The answer is incomplete.
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
    """Polls a condition until it is true; returns its last result."""
    end_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end_s:
            raise TimeoutError("the condition did not become true")
        time.sleep(_POLL_S)

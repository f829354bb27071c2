"""Tests of the demo in a separate process."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys

import processes
import pytest

from bulrushgrade_daemon import keys

REQUEST_BODY = {
    "model": "pack-llm",
    "messages": [{"role": "user", "content": "Which pack grade?"}],
    "max_tokens": 60,
    "stream": True,
}


def start_demo(sigint_handler):
    """Starts the demo with a given SIGINT handler, not the inherited one."""
    command = [sys.executable, "-m", "bulrushgrade_cli", "demo"]
    return subprocess.Popen(
        [*command, "--listen", "127.0.0.1:0"],
        env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
        stdout=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, sigint_handler),
    )


def kill_and_wait(popen):
    popen.kill()
    popen.wait(processes.LIMIT_S)
    popen.stdout.close()


@pytest.fixture
def demo():
    popen = start_demo(signal.SIG_DFL)
    try:
        yield popen
    finally:
        kill_and_wait(popen)


def read_until(stream, last):
    lines = []
    for line in stream:
        lines.append(line)
        if last in line:
            return lines
    raise AssertionError(f"the demo ended early: {lines}")


def test_ctrl_c_completes_the_open_response_and_exits_0(demo):
    # Guards against stand-ins that stop before the daemon has finished a
    # streamed answer: Ctrl-C would then break the answer and print an error.
    lines = read_until(demo.stdout, "Ctrl-C")
    (callers,) = (x.split("//")[1] for x in lines if x.startswith("callers"))
    plain = processes.call("GET", callers.strip(), "/services/portal-app/rooms")
    assert plain.json["path"] == "/rooms"
    address = keys.parse_address(callers.strip())
    caller = http.client.HTTPConnection(
        address.host, address.port, timeout=processes.LIMIT_S
    )
    caller.request(
        "POST",
        "/v1/chat/completions",
        body=json.dumps(REQUEST_BODY),
        headers={"Content-Type": "application/json"},
    )
    answer = caller.getresponse()
    assert answer.status == 200
    assert answer.readline().startswith(b"data: ")
    demo.send_signal(signal.SIGINT)
    assert answer.read().endswith(b"data: [DONE]\n\n")
    caller.close()
    assert demo.wait(processes.LIMIT_S) == 0
    assert demo.stdout.read().strip() == "stopped"


def test_demo_that_ignores_sigint_names_sigterm():
    """The demo must not offer Ctrl-C where SIGINT is ignored.

    A shell starts background jobs with SIGINT ignored, and child processes
    inherit that, so Ctrl-C would have no effect.
    """
    popen = start_demo(signal.SIG_IGN)
    try:
        lines = read_until(popen.stdout, "Ctrl-C")
        assert lines[-1].strip().endswith("SIGTERM stops it.")
        popen.send_signal(signal.SIGTERM)
        assert popen.wait(processes.LIMIT_S) == 0
    finally:
        kill_and_wait(popen)


def test_address_in_use_is_reported_in_one_line():
    """The listen address of the demo is used by another program.

    Guards against a traceback through the reactor that doesn't say which
    address to change, or how.
    """
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        command = [sys.executable, "-m", "bulrushgrade_cli", "demo"]
        finished = subprocess.run(
            [*command, "--listen", address],
            env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
            capture_output=True,
            text=True,
            timeout=processes.LIMIT_S,
        )
    assert finished.returncode == 1
    (line,) = finished.stderr.strip().splitlines()
    assert address in line
    assert "--listen" in line

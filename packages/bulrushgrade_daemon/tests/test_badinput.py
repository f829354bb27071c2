"""Tests that invalid input gets a clear error and makes nothing hang."""

import json
import socket
import time

import processes
import pytest
import scene

LIMITS = """
max_body_bytes = 4096
max_header_bytes = 2048
header_timeout_s = 0.5
body_timeout_s = 0.5
buffer_bytes = 4096
stall_timeout_s = 0.5
"""
JSON = {"Content_Type": "application/json"}
GOOD = {"model": "model", "prompt": "p", "max_tokens": 2}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with processes.running() as started:
        made = scene.Scene(
            started=started, directory=tmp_path_factory.mktemp("badinput")
        )
        engine = started.standin("engine", "--step-s", "0.0005")
        plain = started.standin("plain")
        made.list_hosts((engine.address,), (plain.address,))
        daemon = made.start_daemon(LIMITS)
        made.callers = scene.wait_ready(daemon, 1)
        made.daemon, made.engine, made.plain = daemon, engine, plain
        yield made


def _post(fleet, value, **headers):
    return processes.call(
        "POST", fleet.callers, scene.COMPLETIONS, value, **headers
    )


@pytest.mark.parametrize(
    ("value", "headers", "code", "name"),
    [
        ({**GOOD, "model": "none"}, JSON, 404, "unknown_model"),
        ({**GOOD, "model": 7}, JSON, 400, "bad_request"),
        ({**GOOD, "max_tokens": 0}, JSON, 400, "bad_request"),
        ({**GOOD, "max_tokens": True}, JSON, 400, "bad_request"),
        ({**GOOD, "prompt": ["p"]}, JSON, 400, "bad_request"),
        ({**GOOD, "n": 2}, JSON, 400, "bad_request"),
        ([], JSON, 400, "bad_request"),
        (GOOD, {"Content_Type": "text/plain"}, 415, "unsupported_media_type"),
        ({**GOOD, "prompt": "p" * 5000}, JSON, 413, "too_large"),
    ],
)
def test_wrong_requests_are_named_and_not_run(
    fleet, value, headers, code, name
):
    answer = _post(fleet, value, **headers)
    error = answer.json["error"]
    assert (answer.code, error["code"]) == (code, name)
    assert error["ran"] == "not_run"


def _raw(fleet, data, *, limit_s=processes.LIMIT_S):
    """Sends bytes and returns all that comes until the connection ends."""
    host, port = fleet.callers.split(":")
    with socket.create_connection((host, int(port)), limit_s) as connection:
        connection.sendall(data)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
    return received


def _head(*lines):
    return "\r\n".join((f"POST {scene.COMPLETIONS} HTTP/1.1", *lines)).encode()


def test_malformed_json_is_refused(fleet):
    body = b'{"model": '
    head = _head(
        "Host: a", "Content-Type: application/json", "Connection: close",
        f"Content-Length: {len(body)}", "", "",
    )  # fmt: skip
    assert b"400 Bad Request" in _raw(fleet, head + body)


def test_unknown_plain_service_is_named(fleet):
    answer = processes.call("GET", fleet.callers, "/services/none/x")
    assert (answer.code, answer.json["error"]["code"]) == (
        404,
        "unknown_service",
    )


def test_caller_can_not_name_an_attempt(fleet):
    answer = processes.call(
        "GET",
        fleet.callers,
        "/services/ledger/slots",
        X_Attempt_Id="forged",
        X_Request_Id="mine",
    )
    assert answer.code == 200
    assert answer.headers["x-request-id"] == "mine"
    (run,) = scene.read_runs(fleet.plain.address)
    assert run["request"] == "mine"
    assert run["attempt"] != "forged"


def test_flood_of_headers_ends_the_connection(fleet):
    flood = (f"X-{number}: {'v' * 100}" for number in range(100))
    received = _raw(fleet, _head("Host: a", *flood, "", ""))
    assert b"400 Bad Request" in received or received == b""


@pytest.mark.parametrize(
    "sent",
    [
        _head("Host: a", "X-Slow: "),
        _head("Host: a", "Content-Length: 100", "", "") + b"{",
    ],
)
def test_slow_sender_times_out(fleet, sent):
    # Guards against callers that stop sending in the middle of their headers or
    # body: each would occupy a connection forever, and many of them would leave
    # none for others.
    begun_s = time.monotonic()
    assert b"HTTP/1.1 408 " in _raw(fleet, sent)
    assert time.monotonic() - begun_s < processes.LIMIT_S


def _open_requests(fleet):
    admin = fleet.daemon.ready["admin"]
    return processes.call("GET", admin, "/dump/callers").json["open"]


def test_caller_that_stops_reading_is_cancelled(fleet):
    # A caller reads the beginning of a long answer and then stops reading. Its
    # engine must not continue, and its unread tokens must not fill the host's
    # memory.
    scene.fault(fleet.engine.address, slow_factor=20.0)
    host, port = fleet.callers.split(":")
    body = json.dumps(
        {**GOOD, "prompt": "stall", "max_tokens": 600, "stream": True}
    )
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.connect((host, int(port)))
        head = _head(
            "Host: a", "Content-Type: application/json",
            "X-Request-Id: stalled", f"Content-Length: {len(body)}", "", "",
        )  # fmt: skip
        connection.sendall(head + body.encode())
        processes.wait_for(lambda: _open_requests(fleet) == 1)
        processes.wait_for(lambda: _open_requests(fleet) == 0)
        ended = processes.wait_for(lambda: _find_end(fleet, "stalled"))
    scene.fault(fleet.engine.address)
    assert ended in ("cancelled", "cut")


def _find_end(fleet, request_id):
    runs = scene.read_runs(fleet.engine.address)
    return next((r["ended"] for r in runs if r["request"] == request_id), None)


def test_log_that_answers_nonsense_changes_nothing(fleet):
    # The log service's proxy returns invalid pages for a while. The accepted
    # documents must stay in force and requests must be served.
    scene.fault(fleet.log, nonsense=True)
    admin = fleet.daemon.ready["admin"]

    def failed():
        dump = processes.call("GET", admin, "/dump/documents").json
        return dump["reader"]["failures_in_a_row"] > 0

    processes.wait_for(failed)
    assert _post(fleet, GOOD, **JSON).code == 200
    scene.fault(fleet.log)
    processes.wait_for(lambda: not failed())
    metrics = processes.call("GET", admin, "/metrics").body.decode()
    assert "bulrushgrade_relay_total" in metrics
    assert "bulrushgrade_first_token_seconds" in metrics

"""A small fleet with its daemons, for the failure tests.

It has one availability zone, a model service with repeatable requests, and a
plain service whose POST requests are not repeatable. Their endpoints and the
platform are stand-ins in separate processes.
"""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import http.client
import itertools
import json
import pathlib
import time
from typing import Any

import attrs
import processes

from bulrushgrade import document
from bulrushgrade import publication
from bulrushgrade_standins import completion

COMPLETIONS = "/v1/completions"

_FLEET = """
[fleet]
format = 1
name = ring
team = operators

[region coastal-plain]
zones = metter-hall

[team operators]
services = assistant, ledger

[engines all]
zone = metter-hall
count = 4
token_s_per_s = 200000
"""
_ASSISTANT = """
[document]
format = 1
service = assistant
team = operators
kind = model

[model model]
version = 1

[deadline urgent]
whole_answer_s = 4
first_token_s = 2
between_tokens_s = 0.05
header = X-Urgent: yes

[deadline usual]
whole_answer_s = 20
first_token_s = 10
between_tokens_s = 0.05

[share]
guaranteed_fraction = 0.9

[retry]
max_attempts = 3
budget_fraction = 0.5
"""
_LEDGER = """
[document]
format = 1
service = ledger
team = operators
kind = plain

[deadline usual]
whole_answer_s = 2

[route read]
method = GET
path = /**
repeatable = yes

[route book]
method = POST
path = /**
repeatable = no
"""
_SETTINGS = """
[host]
name = {name}
zone = {zone}
region = {region}

[listen]
callers = 127.0.0.1:0
admin = 127.0.0.1:0
peers = 127.0.0.1:0

[platform]
log = {log}
host_list = {hosts}
weight_store = 127.0.0.1:9
host_list_period_s = 0.1

[limits]
stop_grace_s = {grace_s}
"""


@attrs.frozen(kw_only=True)
class StreamedAnswer:
    """A streamed answer as its caller received it.

    Attributes:
        request_id: The id that the caller gave.
        code: The HTTP status, or 0 if the connection was lost before it.
        tokens: The tokens in the order of arrival.
        whole: Whether the answer is complete, with its end marker.
        error: The error object, or None.
        took_s: Seconds until the answer ended.
    """

    request_id: str
    code: int
    tokens: tuple[str, ...] = ()
    whole: bool = False
    error: dict[str, Any] | None = None
    took_s: float = 0.0

    @property
    def ran(self) -> str:
        """What the error says about whether the request ran, or ``""``."""
        return (self.error or {}).get("ran", "")


def write_settings(
    directory: pathlib.Path,
    *,
    name: str,
    log: str,
    hosts: str,
    zone: str = "metter-hall",
    region: str = "coastal-plain",
    grace_s: float = 0.5,
    more: str = "",
) -> str:
    """Writes settings for a daemon on free ports; returns the file's path.

    Args:
        directory: The directory of the file.
        name: The daemon's name.
        log: The log service's address.
        hosts: The host list's address.
        zone: The daemon's availability zone.
        region: The region of that zone.
        grace_s: How long it accepts requests after the signal to stop.
        more: More lines: first of the limits, then of other sections.
    """
    text = _SETTINGS.format(
        name=name,
        log=log,
        hosts=hosts,
        zone=zone,
        region=region,
        grace_s=grace_s,
    )
    file = directory / f"{name}.ini"
    file.write_text(text + more)
    return str(file)


class Scene:
    """Stand-ins, documents and daemons of one test module."""

    def __init__(
        self, *, started: processes.Processes, directory: pathlib.Path
    ):
        self._started = started
        self._directory = directory
        self._log = started.standin("log")
        self._hosts = started.standin("hosts")
        self._numbers = itertools.count()
        self._publish(document.FLEET, _FLEET)
        self._publish("assistant", _ASSISTANT)
        self._publish("ledger", _LEDGER)

    @property
    def started(self) -> processes.Processes:
        """The processes of the scene, to start more of them."""
        return self._started

    @property
    def log(self) -> str:
        """The log service's address."""
        return self._log.address

    @property
    def hosts(self) -> str:
        """The host list's address."""
        return self._hosts.address

    def list_hosts(
        self,
        engines: tuple[str, ...] = (),
        plains: tuple[str, ...] = (),
        *,
        leaving: tuple[str, ...] = (),
        lag_s: float = 0.0,
    ) -> None:
        """Sets the host list to the given addresses."""
        hosts = [
            _host(address, kind, service, address in leaving)
            for kind, service, addresses in (
                ("engine", "assistant", engines),
                ("plain", "ledger", plains),
            )
            for address in addresses
        ]
        value = {"hosts": hosts, "lag_s": lag_s}
        answer = processes.call("PUT", self.hosts, "/hosts", value)
        assert answer.code == 200

    def start_daemon(self, limits: str = "") -> processes.Process:
        """Starts a daemon; see `wait_ready`.

        Args:
            limits: More lines for its ``[limits]`` section.
        """
        name = f"entry-{next(self._numbers)}"
        file = write_settings(
            self._directory,
            name=name,
            log=self.log,
            hosts=self.hosts,
            more=limits,
        )
        return self._started.start("bulrushgrade_daemon", "--settings", file)

    def _publish(self, service: str, text: str) -> None:
        message = publication.Publish(
            service=service,
            team="operators",
            base_offset=None,
            text=text,
            validation=document.LATEST_VALIDATION,
        )
        body = publication.CODEC.serialize(message).decode()
        value = {"records": [{"id": f"first-{service}", "body": body}]}
        path = f"/streams/{publication.STREAM}/records"
        assert processes.call("POST", self.log, path, value).code == 200


def _host(
    address: str, kind: str, service: str, leaving: bool
) -> dict[str, Any]:
    return {
        "address": address,
        "kind": kind,
        "service": service,
        "zone": "metter-hall",
        "region": "coastal-plain",
        "state": "leaving" if leaving else "live",
        "peer": "",
        "fencing": True,
    }


def is_ready(daemon: processes.Process) -> bool:
    """Checks a daemon's readiness like the platform's load balancer."""
    try:
        answer = processes.call("GET", daemon.ready["callers"], "/readyz")
    except (OSError, http.client.HTTPException):
        return False
    return answer.code == 200


def wait_ready(daemon: processes.Process, engines: int = 0) -> str:
    """Waits until a daemon is ready and has reports of so many engines.

    Returns:
        The daemon's address for callers.
    """
    processes.wait_for(lambda: is_ready(daemon))
    admin = daemon.ready["admin"]

    def seen() -> bool:
        dump = processes.call("GET", admin, "/dump/placing").json
        return len(dump["reports"]) >= engines

    processes.wait_for(seen)
    return daemon.ready["callers"]


def fault(address: str, **faults: Any) -> None:
    """Sets the faults of a stand-in; without any, it clears them all."""
    answer = processes.call("POST", address, "/fault", faults)
    assert answer.code == 200, answer.body


def read_runs(*addresses: str) -> list[dict[str, Any]]:
    """Returns the runs that are recorded in the ledgers of endpoints."""
    return [
        run
        for address in addresses
        for run in processes.call("GET", address, "/ledger").json["runs"]
    ]


def expected(prompt: str, count: int) -> tuple[str, ...]:
    """Returns the tokens of a complete answer."""
    return tuple(completion.expected_tokens(prompt, count))


def stream(
    address: str,
    request_id: str,
    *,
    max_tokens: int,
    urgent: bool = False,
    on_token: Callable[[int], None] = lambda count: None,
    limit_s: float = processes.LIMIT_S,
) -> StreamedAnswer:
    """Requests a streamed answer, with the request's id as the prompt.

    Args:
        address: The daemon's address for callers.
        request_id: The caller's id for the request.
        max_tokens: The number of tokens in the answer.
        urgent: Whether the shorter deadline applies.
        on_token: Called after each token with the number of tokens so far.
        limit_s: The timeout of each read from the connection.
    """
    body = {"model": "model", "prompt": request_id, "max_tokens": max_tokens}
    connection = http.client.HTTPConnection(address, timeout=limit_s)
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": request_id,
        "Connection": "close",
        "X-Urgent": "yes" if urgent else "no",
    }
    start_s = time.monotonic()
    try:
        raw = json.dumps({**body, "stream": True})
        connection.request("POST", COMPLETIONS, raw, headers)
        response = connection.getresponse()
        seen = _read_stream(response, request_id, on_token)
        return attrs.evolve(seen, took_s=time.monotonic() - start_s)
    except (OSError, http.client.HTTPException):
        return StreamedAnswer(request_id=request_id, code=0)
    finally:
        connection.close()


def _read_stream(
    response: http.client.HTTPResponse,
    request_id: str,
    on_token: Callable[[int], None],
) -> StreamedAnswer:
    code = response.status
    if code != 200:
        error = json.loads(response.read())["error"]
        return StreamedAnswer(request_id=request_id, code=code, error=error)
    tokens: list[str] = []
    error = None
    for event in _read_events(response):
        if event == "[DONE]":
            return StreamedAnswer(
                request_id=request_id,
                code=code,
                tokens=tuple(tokens),
                whole=error is None,
            )
        value = json.loads(event)
        error = value.get("error", error)
        text = value["choices"][0]["text"] if "choices" in value else ""
        if text:
            assert value["index"] == len(tokens)
            tokens.append(text)
            on_token(len(tokens))
    return StreamedAnswer(
        request_id=request_id, code=code, tokens=tuple(tokens), error=error
    )


def _read_events(response: http.client.HTTPResponse) -> Iterator[str]:
    while line := response.readline():
        if line.startswith(b"data: "):
            yield line[len(b"data: ") :].decode().strip()


def stream_many(
    address: str, request_ids: list[str], **options: Any
) -> list[StreamedAnswer]:
    """Requests several streamed answers concurrently; see `stream`."""
    with concurrent.futures.ThreadPoolExecutor(len(request_ids)) as pool:
        asked = [
            pool.submit(stream, address, request_id, **options)
            for request_id in request_ids
        ]
        return [each.result() for each in asked]


def assert_whole(answers: list[StreamedAnswer], max_tokens: int) -> None:
    """Checks that every answer is complete and correct."""
    for answer in answers:
        assert answer.whole, answer
        assert answer.tokens == expected(answer.request_id, max_tokens)

"""End-to-end test with separate processes on loopback.

It runs one daemon and stand-ins for the log service, the host list, an engine
and a plain service, each in its own process.
"""

import concurrent.futures
import os
import signal
import subprocess
import sys
import time

import processes
import scene

from bulrushgrade_standins import completion

FLEET = """
[fleet]
format = 1
name = ortak
team = doseme
[region tr-marmara]
zones = gebze-a
[team doseme]
services = pack-llm, portal-app
[engines pool]
zone = gebze-a
count = 1
token_s_per_s = 4000
"""
MODEL = """
[document]
format = 1
service = pack-llm
team = doseme
kind = model
[model pack-grade]
version = 1
[deadline all]
whole_answer_s = 30
first_token_s = 5
between_tokens_s = 0.2
[share]
guaranteed_fraction = 0.5
"""
PLAIN = """
[document]
format = 1
service = portal-app
team = doseme
kind = plain
[deadline all]
whole_answer_s = 10
[route reads]
method = GET
path = /**
repeatable = yes
"""
IN_FORCE_LIMIT_S = 6.0


def _host(process, kind, service):
    return {
        "address": process.address,
        "kind": kind,
        "service": service,
        "zone": "gebze-a",
        "region": "tr-marmara",
        "state": "live",
        "peer": "",
        "fencing": kind == "engine",
    }


def _start(started, tmp_path):
    log = started.standin("log")
    hosts = started.standin("hosts")
    engine = started.standin("engine", "--model", "pack-grade", "--speed", "4")
    plain = started.standin("plain")
    listed = [
        _host(engine, "engine", "pack-llm"),
        _host(plain, "plain", "portal-app"),
    ]
    processes.call("PUT", hosts.address, "/hosts", {"hosts": listed})
    settings = scene.write_settings(
        tmp_path,
        name="entry-1",
        log=log.address,
        hosts=hosts.address,
        zone="gebze-a",
        region="tr-marmara",
        grace_s=0.1,
    )
    daemon = started.start("bulrushgrade_daemon", "--settings", settings)
    return log, daemon


def _publish(tmp_path, log, text):
    path = tmp_path / "document.ini"
    path.write_text(text)
    command = [sys.executable, "-m", "bulrushgrade_cli", "publish", str(path)]
    env = dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path))
    published = subprocess.run([*command, "--log", log.address], env=env)
    assert published.returncode == 0


def _ask(address, prompt, tokens, *, stream):
    return processes.call(
        "POST",
        address,
        "/v1/completions",
        {
            "model": "pack-llm",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": stream,
        },
        Content_Type="application/json",
    )


def test_request_is_served_and_a_stop_cuts_nothing(tmp_path):
    with processes.running() as started:
        log, daemon = _start(started, tmp_path)
        callers = daemon.ready["callers"]
        for text in (FLEET, MODEL, PLAIN):
            _publish(tmp_path, log, text)
        published_s = time.monotonic()
        processes.wait_for(
            lambda: _ask(callers, "a", 1, stream=False).code == 200
        )
        assert time.monotonic() - published_s < IN_FORCE_LIMIT_S

        streamed = _ask(callers, "which pack", 4, stream=True)
        assert streamed.headers["content-type"] == "text/event-stream"
        assert streamed.body.endswith(b"data: [DONE]\n\n")
        whole = _ask(callers, "which pack", 4, stream=False)
        expected = "".join(completion.expected_tokens("which pack", 4))
        assert whole.json["choices"][0]["text"] == expected
        plain = processes.call("GET", callers, "/services/portal-app/rooms")
        assert (plain.code, plain.json["path"]) == (200, "/rooms")

        with concurrent.futures.ThreadPoolExecutor() as pool:
            running = pool.submit(_ask, callers, "long", 200, stream=True)
            processes.wait_for(lambda: _open_requests(daemon) == 1)
            daemon.send(signal.SIGTERM)
            answer = running.result()
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert daemon.wait() == 0


def _open_requests(daemon):
    dump = processes.call("GET", daemon.ready["admin"], "/dump/callers")
    return dump.json["open"]

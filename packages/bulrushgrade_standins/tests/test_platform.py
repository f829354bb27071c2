"""Tests of the stand-ins for log, host list, weights, services and links."""

import http.client
import json
import signal
import threading
import time

import processes
import pytest

_RECORDS = "/streams/documents/records"


@pytest.fixture(scope="module")
def fleet():
    with processes.running() as started:
        yield started


@pytest.fixture(scope="module")
def log(fleet):
    return fleet.standin("log").address


def _append(address, record_id, path=_RECORDS):
    records = [{"id": record_id, "body": "text"}]
    return processes.call("POST", address, path, {"records": records})


def _read(address, query="from=0", path=_RECORDS):
    return processes.call("GET", address, f"{path}?{query}").json


def _fault(address, **faults):
    assert processes.call("POST", address, "/fault", faults).code == 200


def test_offsets_pages_and_trimming(log):
    path = "/streams/paged/records"
    offsets = [_append(log, f"r{i}", path).json["offsets"] for i in range(3)]
    assert offsets == [[0], [1], [2]]
    page = _read(log, "from=1&limit=1", path)
    assert page["records"] == [{"offset": 1, "id": "r1", "body": "text"}]
    assert page["next_offset"] == 2 and page["end_offset"] == 3
    trim = {"stream": "paged", "offset": 2}
    assert processes.call("POST", log, "/trim", trim).code == 200
    page = _read(log, "from=0", path)
    assert [r["offset"] for r in page["records"]] == [2]
    assert page["earliest_offset"] == 2


def test_reader_waits_for_an_append(log):
    path = "/streams/awaited/records"
    pages = []
    thread = threading.Thread(
        target=lambda: pages.append(_read(log, "from=0&wait_s=20", path))
    )
    thread.start()
    _append(log, "r", path)
    thread.join(processes.LIMIT_S)
    assert [r["id"] for r in pages[0]["records"]] == ["r"]


def test_append_with_lost_answer_takes_effect(log):
    # The connection is reset after the append took effect, so the publisher
    # can't tell that the record is stored. The next append gets its answer.
    _fault(log, lose_answers=1, stream="documents")
    with pytest.raises((OSError, http.client.HTTPException)):
        _append(log, "lost")
    assert _append(log, "next").code == 200
    ids = [r["id"] for r in _read(log)["records"]]
    assert ids[-2:] == ["lost", "next"]


def test_outage_nonsense_silence_and_overload(log):
    _fault(log, outage=True)
    assert _append(log, "x").code == 503
    _fault(log, nonsense=True)
    with pytest.raises(json.JSONDecodeError):
        _read(log)
    _fault(log, silent=True)
    with pytest.raises(TimeoutError):
        processes.call("GET", log, _RECORDS, limit_s=0.2)
    _fault(log)
    records = [{"id": f"b{i}", "body": ""} for i in range(401)]
    path = "/streams/burst/records"
    answer = processes.call("POST", log, path, {"records": records})
    assert answer.code == 429 and answer.headers["retry-after"] == "1"


def test_host_list_lags(fleet):
    hosts = fleet.standin("hosts").address
    value = {"hosts": [{"address": "127.0.0.1:1"}], "lag_s": 0.2}
    assert processes.call("PUT", hosts, "/hosts", value).json["version"] == 1

    def read():
        return processes.call("GET", hosts, "/hosts").json

    assert read() == {"version": 0, "hosts": []}
    processes.wait_for(lambda: read()["version"] == 1)


def test_weight_store_limits_downloads(fleet):
    store = fleet.standin("weights", "--downloads-per-s", "0.1").address
    assert processes.call("GET", store, "/weights/m/1").code == 200
    assert processes.call("GET", store, "/weights/m/1").code == 429


def test_plain_service_keeps_a_ledger(fleet):
    plain = fleet.standin("plain").address
    headers = {"X_Attempt_Id": "a", "Idempotency_Key": "k"}
    answer = processes.call("PUT", plain, "/slots/3", {"x": 1}, **headers)
    assert answer.headers["x-attempt-id"] == "a"
    assert answer.json["method"] == "PUT" and answer.json["path"] == "/slots/3"
    for fault in ("die_before", "die_after"):
        _fault(plain, **{fault: True, "times": 1})
        with pytest.raises((OSError, http.client.HTTPException)):
            processes.call("POST", plain, f"/{fault}", {}, **headers)
    _fault(plain, refuse=True)
    answer = processes.call("POST", plain, "/refused", {})
    assert answer.headers["x-not-started"] == "true"
    runs = processes.call("GET", plain, "/ledger").json["runs"]
    assert [r["path"] for r in runs] == ["/slots/3", "/die_after"]
    assert {r["key"] for r in runs} == {"k"}


def test_link_silences_open_connections_only(fleet):
    # A pooled connection looks open but drops all bytes, while a new one works,
    # as when a device in between has lost its state of the old one.
    plain = fleet.standin("plain")
    relay = fleet.standin("link", plain.address)
    host, port = relay.address.split(":")
    pooled = http.client.HTTPConnection(host, int(port), timeout=0.3)
    pooled.request("GET", "/first")
    assert pooled.getresponse().read()
    _fault(relay.ready["admin"], silence_open=True)
    pooled.request("GET", "/second")
    with pytest.raises(TimeoutError):
        pooled.getresponse()
    pooled.close()
    assert processes.call("GET", relay.address, "/third").code == 200
    _fault(relay.ready["admin"], cut=True)
    with pytest.raises((OSError, http.client.HTTPException)):
        processes.call("GET", relay.address, "/fourth")
    _fault(relay.ready["admin"], delay_s=0.2)
    start_s = time.monotonic()
    assert processes.call("GET", relay.address, "/fifth").code == 200
    assert time.monotonic() - start_s >= 0.4
    runs = processes.call("GET", plain.address, "/ledger").json["runs"]
    assert [r["path"] for r in runs] == ["/first", "/third", "/fifth"]


def test_every_standin_ends_cleanly_on_sigterm(fleet):
    names = ("log", "hosts", "engine", "plain", "weights")
    started = [fleet.standin(name) for name in names]
    for process in started:
        assert process.address
        process.send(signal.SIGTERM)
        assert process.wait() == 0

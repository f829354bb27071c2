"""Tests of the stand-in model engine, run as a process."""

import contextlib
import http.client
import json
import signal
import threading

import processes
import pytest

from bulrushgrade import work
from bulrushgrade_standins import batch
from bulrushgrade_standins import completion

_PATH = "/v1/completions"


@pytest.fixture(scope="module")
def fleet():
    with processes.running() as started:
        yield started


@pytest.fixture(scope="module")
def engine(fleet):
    return fleet.standin("engine", "--speed", "20", "--change-s", "0.2")


def _complete(address, path=_PATH, attempt="a", **fields):
    return processes.call(
        "POST", address, path, fields, X_Attempt_Id=attempt, X_Request_Id="r"
    )


def _fault(address, **faults):
    assert processes.call("POST", address, "/fault", faults).code == 200


def _read_events(answer):
    lines = answer.body.decode().split("\n\n")
    events = [line.removeprefix("data: ") for line in lines if line]
    whole = bool(events) and events[-1] == "[DONE]"
    return [json.loads(e) for e in events if e != "[DONE]"], whole


def test_expected_tokens_depend_on_prompt_and_number():
    tokens = completion.expected_tokens("p", 3)
    assert completion.expected_tokens("p", 3, start=1) == tokens[1:]
    assert completion.expected_tokens("q", 3)[0] != tokens[0]


def test_stream_is_whole_and_ends_with_usage(engine):
    answer = _complete(engine.address, prompt="p", max_tokens=3, stream=True)
    events, whole = _read_events(answer)
    assert whole and answer.headers["x-attempt-id"] == "a"
    assert [e["index"] for e in events] == [0, 1, 2]
    texts = [e["choices"][0]["text"] for e in events]
    assert texts == completion.expected_tokens("p", 3)
    assert events[-1]["usage"]["completion_tokens"] == 3
    assert events[-1]["choices"][0]["finish_reason"] == "length"


def test_chat_answers_whole_and_resumed(engine):
    answer = _complete(
        engine.address,
        "/v1/chat/completions",
        messages=[{"role": "user", "content": "hello"}],
        max_tokens=4,
        resume_tokens=1,
    )
    expected = completion.expected_tokens("user: hello", 4, start=1)
    message = answer.json["choices"][0]["message"]
    assert message["content"] == "".join(expected)


def test_resume_after_last_token_sends_final_event(engine):
    fields = {"prompt": "p", "max_tokens": 2, "resume_tokens": 2}
    answer = _complete(engine.address, stream=True, **fields)
    (event,), whole = _read_events(answer)
    assert whole and event["choices"][0]["text"] == ""
    assert event["usage"]["completion_tokens"] == 2


@pytest.mark.parametrize("sent", [0, 1, 3])
def test_connection_reset_mid_stream_truncates_answer(engine, sent):
    # The engine resets the connection after some tokens. The partial answer
    # must fail at the caller rather than look complete.
    _fault(engine.address, die_after=sent, attempts=1)
    with pytest.raises((OSError, http.client.HTTPException)):
        _complete(engine.address, prompt="p", max_tokens=3, stream=True)
    again = _complete(engine.address, prompt="p", max_tokens=3, stream=True)
    assert _read_events(again)[1]


def test_truncated_duplicated_and_crossed_answers(engine):
    _fault(engine.address, truncate_after=1, duplicate_at=0, wrong_attempt=True)
    answer = _complete(engine.address, prompt="p", max_tokens=3, stream=True)
    events, whole = _read_events(answer)
    assert not whole
    assert [(e["id"], e["index"]) for e in events] == [("a-other", 0)] * 2
    _fault(engine.address)


def test_refusals_are_marked_and_not_in_the_ledger(engine):
    before = processes.call("GET", engine.address, "/ledger").json
    _fault(engine.address, refuse=True)
    refused = _complete(engine.address, prompt="p")
    _fault(engine.address)
    other = _complete(engine.address, prompt="p", model="unknown")
    for answer in (refused, other):
        assert answer.code == 503
        assert answer.headers["x-not-started"] == "true"
    after = processes.call("GET", engine.address, "/ledger").json
    assert after["runs"] == before["runs"]
    assert after["refused"] == before["refused"] + 2


def test_second_prefill_uses_cache_and_publishes_events(engine):
    prompt = "field history " * 100
    first = _complete(engine.address, prompt=prompt).json["usage"]
    second = _complete(engine.address, prompt=prompt).json["usage"]
    assert first["cached_tokens"] == 0
    assert second["cached_tokens"] == 320

    def cache_events():
        page = processes.call("GET", engine.address, "/cache/events?from=0")
        return page.json["events"]

    assert processes.wait_for(cache_events)[0]["kind"] == "stored"


def test_prefix_hashes_are_those_that_placement_computes():
    prompt = "ünder the eaves " * 40
    hashes = [int(h, 16) for h in batch.hash_prefixes(prompt)]
    assert tuple(hashes) == work.prefix_blocks(prompt)


def test_cancel_ends_the_stream_without_its_end_marker(engine):
    _fault(engine.address, slow_factor=1000)
    answers = []

    def run():
        fields = {"prompt": "p", "max_tokens": 50, "stream": True}
        answers.append(_complete(engine.address, attempt="c", **fields))

    thread = threading.Thread(target=run)
    thread.start()

    def cancelled():
        path = "/v1/attempts/c"
        return processes.call("DELETE", engine.address, path).json["cancelled"]

    processes.wait_for(cancelled)
    thread.join(processes.LIMIT_S)
    _fault(engine.address)
    assert not _read_events(answers[0])[1]
    runs = processes.call("GET", engine.address, "/ledger").json["runs"]
    assert runs[-1]["attempt"] == "c" and runs[-1]["ended"] == "cancelled"


def test_kv_cache_is_imported_by_another_engine(engine, fleet):
    other = fleet.standin("engine", "--speed", "20", "--role", "decode")
    exported = _complete(engine.address, prompt="p", kv_export=True).json
    source = {"address": engine.address, "handle": exported["kv_handle"]}
    answer = _complete(
        other.address, prompt="p", max_tokens=2, kv_import=source
    )
    text = answer.json["choices"][0]["text"]
    assert text == "".join(completion.expected_tokens("p", 2))
    gone = {"address": engine.address, "handle": "kv-none"}
    answer = _complete(other.address, prompt="p", kv_import=gone)
    assert answer.code == 410
    assert answer.headers["x-not-started"] == "true"


def _order(address, order_id, term, role):
    wanted = {"role": role, "model": "model", "version": "1", "adapters": []}
    value = {"order_id": order_id, "term": term, "wanted": wanted}
    return processes.call("POST", address, "/orders", value)


def _load(address):
    with contextlib.suppress(OSError, http.client.HTTPException):
        return processes.call("GET", address, "/load").json
    return None


def _wait_for_order(address, order_id):
    def arrived():
        load = _load(address)
        return load["state"] == "serving" and load["order_id"] == order_id

    processes.wait_for(arrived)


def test_orders_change_the_role_and_old_terms_are_refused(fleet):
    engine = fleet.standin("engine", "--change-s", "0.3")
    assert _order(engine.address, "o1", 5, "decode").code == 202
    assert _order(engine.address, "o1", 6, "decode").code == 202
    assert _order(engine.address, "o2", 6, "prefill").json["code"] == "busy"
    assert _order(engine.address, "o0", 4, "mixed").json["code"] == "stale_term"
    _wait_for_order(engine.address, "o1")
    assert _load(engine.address)["role"] == "decode"
    assert _load(engine.address)["term"] == 6
    orders = processes.call("GET", engine.address, "/ledger").json["orders"]
    assert [(o["order_id"], o["outcome"]) for o in orders] == [("o1", "done")]


def test_unfenced_engine_holds_two_orders_at_once(fleet):
    # The ledger must show two conflicting orders, because the daemon's tests
    # rely on it to detect them.
    options = ("--no-fencing", "--overlap", "--change-s", "0.3")
    engine = fleet.standin("engine", *options)
    _order(engine.address, "o1", 5, "decode")
    assert _order(engine.address, "o0", 4, "prefill").code == 202
    _wait_for_order(engine.address, "o0")
    orders = processes.call("GET", engine.address, "/ledger").json["orders"]
    assert orders[1]["from_s"] < orders[0]["until_s"]


def test_crash_during_change_restores_old_state(fleet):
    engine = fleet.standin("engine", "--change-s", "0.1")
    _fault(engine.address, crash_changes=1, down_s=0.1)
    _order(engine.address, "o1", 5, "decode")
    ledger = "/ledger"

    def crashed():
        orders = processes.call("GET", engine.address, ledger).json["orders"]
        return orders[0]["outcome"] == "crashed"

    processes.wait_for(crashed)
    processes.wait_for(lambda: _load(engine.address)["state"] == "serving")
    assert _load(engine.address)["role"] == "mixed"
    assert _load(engine.address)["order_id"] == ""


def test_sigterm_waits_for_requests_in_flight(fleet):
    engine = fleet.standin("engine")
    # Read the address before the thread starts: two threads would both wait
    # for the only line.
    assert engine.address
    answers = []

    def run():
        fields = {"prompt": "p", "max_tokens": 20, "stream": True}
        answers.append(_complete(engine.address, **fields))

    thread = threading.Thread(target=run)
    thread.start()

    def started():
        return processes.call("GET", engine.address, "/ledger").json["runs"]

    processes.wait_for(started)
    engine.send(signal.SIGTERM)
    thread.join(processes.LIMIT_S)
    assert _read_events(answers[0])[1]
    assert engine.wait() == 0

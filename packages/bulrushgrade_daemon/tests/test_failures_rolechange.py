"""Role changes under load must not affect callers."""

import callerload
import control
import processes
import pytest
import scene

_TOKENS = 8


@pytest.fixture
def cluster(tmp_path):
    with processes.running() as started:
        yield control.Cluster(started=started, directory=tmp_path)


def test_role_change_under_load_cuts_no_answer(cluster):
    # A holder crashes after it wrote the intent of a role change. The next one
    # sends the order to an engine that is generating answers, while two hosts
    # place work by its last report. A caller must see neither a truncated
    # answer nor a refusal, as two other engines serve.
    options = ("--change-s", "0.5", "--slots", "8")
    engines = [cluster.started.standin("engine", *options) for _ in range(3)]
    addresses = [engine.address for engine in engines]
    daemons = [cluster.start_daemon() for _ in range(2)]
    cluster.list_hosts(daemons, addresses)
    for daemon in daemons:
        scene.wait_ready(daemon, engines=3)
    holder = control.wait_holder(daemons)
    load = callerload.Load(
        daemons=daemons, callers=24, max_tokens=_TOKENS, name="change"
    )
    with load:
        load.wait_answers(48)
        term = control.read_group(holder)["term"]
        order_id = cluster.append_intent(addresses[0], "decode", term)
        control.wait_settled(holder, addresses[0], "decode", order_id=order_id)
        load.wait_answers(48)
    scene.assert_whole(load.answers, _TOKENS)
    control.assert_no_overlap(addresses[0])

"""One entry of another writer in the runners' list ends every gateway."""

import pathlib
import time

from review_standins import ends as ends_module
from review_standins import scene as scene_module

RECORD = pathlib.Path(__file__).parent / "record.txt"
KEY = "ağ-yedek-1"
WATCH_S = 80.0


def play(scene: scene_module.Scene) -> bool:
    """Returns whether the rule held."""
    scene.start_store()
    scene.configure()
    for id, stage in (("i-p1", "prefill"), ("i-d1", "decode")):
        scene.start_runner(id, "pack-llm", stage)
    runner = scene.start_runner("i-s1", "portal-app")
    gateways = [
        scene.start_gateway("front-gebze-a-1"),
        scene.start_gateway("front-gebze-a-2"),
        scene.start_gateway("front-tuzla-1", zone="tuzla"),
    ]
    scene.wait_until_ready(*gateways)
    _send_to_all(scene, gateways)
    if scene_module.TROUBLE:
        # Version, slots, cold_remaining_ms and sequence are missing.
        entry = {
            "service": "pack-llm",
            "address": runner.address,
            "zone": "gebze-a",
            "state": "ready",
            "stage": "decode",
        }
        scene.put("keyed.servers", KEY, entry)
        scene.record("entry of another writer", key=KEY, entry=entry)
    ends = ends_module.Ends(scene, gateways)
    ends.watch(WATCH_S)
    _send_to_all(scene, gateways)
    for entry in scene.read_ledger("ran"):
        scene.record("ran", runner=entry["runner"], id=entry["request"])
    ends.record()
    return not ends.breaks_rule


def _send_to_all(scene: scene_module.Scene, gateways: list) -> None:
    for gateway in gateways:
        for number in range(2):
            id = f"{gateway.name}-{time.time():.3f}-{number}"
            status, *_, is_whole = scene_module.send(
                gateway.callers,
                "/confirm/x",
                id,
                method="GET",
                body=b"",
                deadline_ms=1000,
            )
            scene.record(
                "sent",
                gateway=gateway.name,
                id=id,
                status=status,
                whole=is_whole,
            )


if __name__ == "__main__":
    scene_module.run(play, RECORD)

"""One entry of another writer in the runners' list ends every gateway."""

import pathlib
import time

from review_standins import scene as scene_module

KEY = "ağ-yedek-1"
WATCH_S = 60.0
RESTART_S = 0.5
ENDS = 3
MACHINES = 2


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
    ends = _watch(scene, gateways)
    _send_to_all(scene, gateways)
    for entry in scene.read_ledger("ran"):
        scene.record("ran", runner=entry["runner"], id=entry["request"])
    scene.record("ends by themselves", **ends)
    return not _is_broken(ends)


def _is_broken(ends: dict[str, int]) -> bool:
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


def _watch(scene: scene_module.Scene, gateways: list) -> dict[str, int]:
    """Starts ended gateways again; returns how often each has ended."""
    ends = {gateway.name: 0 for gateway in gateways}
    due_at: dict[str, float] = {}
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until and not _is_broken(ends):
        for place, gateway in enumerate(gateways):
            if gateway.exit_code is None:
                continue
            if gateway.name not in due_at:
                ends[gateway.name] += 1
                due_at[gateway.name] = time.monotonic() + RESTART_S
                _record_end(scene, gateway)
            elif time.monotonic() >= due_at[gateway.name]:
                del due_at[gateway.name]
                gateways[place] = scene.start_again(gateway)
        time.sleep(0.05)
    return ends


def _record_end(
    scene: scene_module.Scene, gateway: scene_module.Gateway
) -> None:
    scene.record("end", gateway=gateway.name, code=gateway.exit_code)
    for line in scene.read_log(gateway, "broken_invariant")[-1:]:
        scene.record("log", gateway=gateway.name, line=line[-300:])


def _send_to_all(scene: scene_module.Scene, gateways: list) -> None:
    for gateway in gateways:
        for number in range(5):
            id = f"{gateway.name}-{time.time():.3f}-{number}"
            status, *_, is_whole = scene_module.send(
                gateway.callers, "/confirm/x", id, method="GET", body=b""
            )
            scene.record(
                "sent",
                gateway=gateway.name,
                id=id,
                status=status,
                whole=is_whole,
            )


if __name__ == "__main__":
    scene_module.run(play, str(pathlib.Path(__file__).parent))

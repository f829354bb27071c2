"""One wrong byte in the answer to a prefill ends the gateway that got it."""

import pathlib
import threading
import time

from review_standins import scene as scene_module

LONG = {
    "X-Model-Name": "m",
    "X-Token-Counts": "17020,9",
    "X-Prompt-Prefix": "a{shared}:13300,{part}:3720",
}
WINDOW_S = 5.0
PAUSE_S = 1.0
WINDOWS = 14
SHARE_OF_ANSWERS = 0.02
CLIENTS = 20
PERIOD_S = 0.3
RESTART_S = 0.5
ENDS = 3
SHARED_PARTS = 114
MACHINES = 2


class Clients:
    """Clients that send prompts to all gateways."""

    def __init__(self, scene: scene_module.Scene, gateways: list):
        self._scene = scene
        self._gateways = gateways
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_on, args=(number,))
            for number in range(CLIENTS)
        ]

    def start(self) -> None:
        """Starts to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Ends after the requests that are open."""
        self._is_over.set()
        for thread in self._threads:
            thread.join()

    def _send_on(self, client: int) -> None:
        number = 0
        while not self._is_over.is_set():
            number += 1
            gateway = self._gateways[(client + number) % len(self._gateways)]
            id = f"{client:02x}{number:06x}"
            prefix = LONG["X-Prompt-Prefix"].format(
                shared=(client * 7 + number) % SHARED_PARTS, part=id
            )
            headers = LONG | {"X-Prompt-Prefix": prefix}
            status, *_, is_whole = scene_module.send(
                gateway.callers,
                "/grade/x",
                id,
                deadline_ms=5000,
                headers=headers,
            )
            self._scene.record(
                "sent",
                gateway=gateway.name,
                id=id,
                status=status,
                whole=is_whole,
            )
            self._is_over.wait(PERIOD_S)


def play(scene: scene_module.Scene) -> bool:
    """Returns whether the rule held."""
    scene.start_store()
    scene.configure()
    spoiler = scene.start_runner("i-p1", "pack-llm", "prefill")
    scene.start_runner("i-p2", "pack-llm", "prefill")
    for id in ("i-d1", "i-d2"):
        scene.start_runner(id, "pack-llm", "decode")
    gateways = [
        scene.start_gateway("front-gebze-a-1"),
        scene.start_gateway("front-gebze-a-2"),
    ]
    scene.wait_until_ready(*gateways)
    clients = Clients(scene, gateways)
    clients.start()
    ends = {gateway.name: 0 for gateway in gateways}
    for window in range(WINDOWS):
        if scene_module.TROUBLE:
            _spoil(scene, spoiler, SHARE_OF_ANSWERS, window)
        _watch(scene, gateways, ends, WINDOW_S)
        if scene_module.TROUBLE:
            _spoil(scene, spoiler, 0.0, window)
        _watch(scene, gateways, ends, PAUSE_S)
        if _is_broken(ends):
            break
    clients.stop()
    for entry in scene.read_ledger():
        scene.record("runner got", entry=entry)
    scene.record("ends by themselves", **ends)
    return not _is_broken(ends)


def _is_broken(ends: dict[str, int]) -> bool:
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


def _spoil(
    scene: scene_module.Scene,
    runner: scene_module.Process,
    share: float,
    n: int,
) -> None:
    fault = {"spoil_handles": share} if share else {}
    scene_module.call("POST", runner.address, "/standin/fault", fault)
    scene.record("wrong bytes", window=n, share=share)


def _watch(
    scene: scene_module.Scene, gateways: list, ends: dict, for_s: float
) -> None:
    """Starts ended gateways again and counts how often each has ended."""
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        for place, gateway in enumerate(gateways):
            if gateway.exit_code is None:
                continue
            ends[gateway.name] += 1
            scene.record("end", gateway=gateway.name, code=gateway.exit_code)
            for line in scene.read_log(gateway, "broken_invariant")[-1:]:
                scene.record("log", gateway=gateway.name, line=line[-300:])
            time.sleep(RESTART_S)
            gateways[place] = scene.start_again(gateway)
        time.sleep(0.05)


if __name__ == "__main__":
    scene_module.run(play, str(pathlib.Path(__file__).parent))

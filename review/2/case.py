"""One wrong byte in the answer to a prefill ends the gateway that got it."""

import pathlib
import threading

from review_standins import ends as ends_module
from review_standins import scene as scene_module

RECORD = pathlib.Path(__file__).parent / "record.txt"
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
SHARED_PARTS = 114


class Clients:
    """Clients that send prompts to all gateways."""

    def __init__(self, scene: scene_module.Scene, gateways: list):
        self._scene = scene
        self._gateways = gateways
        self._is_over = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_on, args=(number,), daemon=True)
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
    ends = ends_module.Ends(scene, gateways)
    for window in range(WINDOWS):
        if scene_module.TROUBLE:
            _spoil(scene, spoiler, SHARE_OF_ANSWERS, window)
        ends.watch(WINDOW_S)
        if scene_module.TROUBLE:
            _spoil(scene, spoiler, 0.0, window)
        ends.watch(PAUSE_S)
        if ends.breaks_rule:
            break
    clients.stop()
    for entry in scene.read_ledger():
        scene.record("runner got", entry=entry)
    ends.record()
    return not ends.breaks_rule


def _spoil(
    scene: scene_module.Scene,
    runner: scene_module.Process,
    share: float,
    n: int,
) -> None:
    fault = {"spoil_handles": share} if share else {}
    scene_module.call("POST", runner.address, "/standin/fault", fault)
    scene.record("wrong bytes", window=n, share=share)


if __name__ == "__main__":
    scene_module.run(play, RECORD)

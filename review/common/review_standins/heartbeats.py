"""The heartbeats of runners: they write their entries every 1.2 s."""

import threading

from review_standins import scene as scene_module

PERIOD_S = 1.2


class Heartbeats:
    """Writes the entry of one runner again and again, as the runner does."""

    def __init__(
        self,
        scene: scene_module.Scene,
        id: str,
        service: str,
        address: str,
        stage: str = "plain",
    ):
        self._scene = scene
        self._id = id
        self._entry = scene_module.make_entry(service, address, stage)
        self._lock = threading.Lock()
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._write_on, daemon=True)

    def start(self) -> None:
        """Starts to write."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the heartbeats."""
        self._is_over.set()
        self._thread.join()

    def write(self, **changes: str) -> None:
        """Writes the entry now, with the next sequence."""
        with self._lock:
            self._entry |= changes
            self._entry["sequence"] += 1
            self._scene.put("keyed.servers", self._id, self._entry)

    def _write_on(self) -> None:
        while not self._is_over.wait(PERIOD_S):
            self.write()

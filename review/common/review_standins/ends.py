"""Counts how often gateways end by themselves, and starts them again."""

import time

from review_standins import scene as scene_module

RESTART_S = 0.5
"""The platform starts a process that ended again after a short delay."""

ENDS = 3
MACHINES = 2


class Ends:
    """How often each gateway has ended by itself."""

    def __init__(
        self, scene: scene_module.Scene, gateways: list[scene_module.Gateway]
    ):
        """Begins to count.

        Args:
            scene: The scene that started the gateways.
            gateways: The gateways; replaced here when they start again.
        """
        self._scene = scene
        self._gateways = gateways
        self._counts = {gateway.name: 0 for gateway in gateways}
        self._due_at: dict[str, float] = {}

    @property
    def breaks_rule(self) -> bool:
        """Whether two machines have had three ends each."""
        often = sum(count >= ENDS for count in self._counts.values())
        return often >= MACHINES

    def watch(self, for_s: float) -> None:
        """Watches for a time, or until the rule is broken."""
        until = time.monotonic() + for_s
        while time.monotonic() < until and not self.breaks_rule:
            for place, gateway in enumerate(self._gateways):
                if gateway.exit_code is not None:
                    self._handle_end(place, gateway)
            time.sleep(0.05)

    def record(self) -> None:
        """Writes the counts to the record."""
        self._scene.record("ends by themselves", **self._counts)

    def _handle_end(self, place: int, gateway: scene_module.Gateway) -> None:
        name, now = gateway.name, time.monotonic()
        if name not in self._due_at:
            self._counts[name] += 1
            self._due_at[name] = now + RESTART_S
            self._scene.record("end", gateway=name, code=gateway.exit_code)
            for line in self._scene.read_log(gateway, "broken_invariant")[-1:]:
                self._scene.record("log", gateway=name, line=line[-300:])
        elif now >= self._due_at[name]:
            del self._due_at[name]
            self._gateways[place] = self._scene.start_again(gateway)

"""Callers that send requests continuously, for tests under load."""

import itertools
import threading
import time

import processes
import scene


class Load:
    """Callers that send requests until the end of the ``with`` block.

    Each request goes to a daemon that reports that it is ready, as the
    platform's load balancer would choose it, on a new connection.
    """

    def __init__(
        self,
        *,
        daemons: list[processes.Process],
        callers: int,
        max_tokens: int,
        name: str,
    ):
        self._daemons = daemons
        self._max_tokens = max_tokens
        self._name = name
        self._numbers = itertools.count()
        self._stopping = threading.Event()
        self._answers: list[scene.StreamedAnswer] = []
        self._threads = [
            threading.Thread(target=self._ask) for _ in range(callers)
        ]

    @property
    def answers(self) -> list[scene.StreamedAnswer]:
        """The answers so far."""
        return list(self._answers)

    def __enter__(self) -> "Load":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join(processes.LIMIT_S)

    def wait_answers(self, more: int) -> None:
        """Waits until the given number of further requests is answered."""
        wanted = len(self._answers) + more
        processes.wait_for(lambda: len(self._answers) >= wanted)

    def _ask(self) -> None:
        while not self._stopping.is_set():
            daemon = self._choose()
            if daemon is None:
                time.sleep(0.02)
                continue
            number = next(self._numbers)
            answer = scene.stream(
                daemon.ready["callers"],
                f"{self._name}-{number}",
                max_tokens=self._max_tokens,
            )
            self._answers.append(answer)

    def _choose(self) -> processes.Process | None:
        ready = [d for d in list(self._daemons) if scene.is_ready(d)]
        return ready[next(self._numbers) % len(ready)] if ready else None

"""Transfer of KV cache from one engine to another."""

import itertools
import time

import treq
from twisted.internet import reactor

from bulrushgrade_standins import batch
from bulrushgrade_standins import completion

_ENTRY_TTL_S = 30.0
_FETCH_TIMEOUT_S = 5.0


class KvExports:
    """Exported KV caches of prompts by handle, which expire."""

    def __init__(self):
        self._numbers = itertools.count()
        self._entries: dict[str, tuple[str, float]] = {}

    @property
    def tokens(self) -> int:
        """Number of tokens in all exports."""
        self._drop_expired()
        return sum(batch.count_tokens(p) for p, _ in self._entries.values())

    def export(self, prompt: str) -> str:
        """Exports the KV cache of a prompt and returns its handle."""
        handle = f"kv-{next(self._numbers)}"
        self._entries[handle] = (prompt, time.monotonic() + _ENTRY_TTL_S)
        return handle

    def find(self, handle: str) -> str | None:
        """Returns the prompt of a handle, or None if the export has expired."""
        self._drop_expired()
        prompt, _ = self._entries.get(handle, (None, 0.0))
        return prompt

    def _drop_expired(self) -> None:
        now = time.monotonic()
        self._entries = {h: e for h, e in self._entries.items() if e[1] > now}


async def fetch(source: completion.KvSource, prompt: str) -> bool:
    """Fetches the KV cache of a prompt from another engine.

    Returns:
        Whether the KV cache was there and is that of this prompt.
    """
    url = f"http://{source.address}/kv/{source.handle}"
    try:
        response = await treq.get(
            url, timeout=_FETCH_TIMEOUT_S, reactor=reactor
        )
        value = await response.json()
    except Exception:
        # For any failure the caller only needs to know that there is no KV
        # cache: the prompt is then prefilled again.
        return False
    return response.code == 200 and value.get("prompt") == prompt

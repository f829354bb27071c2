"""A stand-in for the weight store, with a limited download rate."""

import time
from typing import Any

import klein

from bulrushgrade_standins import server

_SIZE_BYTES = 64 * 1024


class WeightStore:
    """Serves arbitrary bytes for any model, at a limited rate."""

    def __init__(
        self, *, downloads_per_s: float = 1.0, size_bytes: int = _SIZE_BYTES
    ):
        self._gap_s = 1.0 / downloads_per_s
        self._size_bytes = size_bytes
        self._free_at = 0.0
        self._app = klein.Klein()
        path = "/weights/<model>/<version>"
        self._app.route(path, methods=["GET"])(self._get_weights)

    @property
    def app(self) -> klein.Klein:
        """The HTTP app."""
        return self._app

    def _get_weights(self, request: Any, model: str, version: str) -> bytes:
        now = time.monotonic()
        if now < self._free_at:
            return server.answer(
                request, {"code": "overload"}, code=429, Retry_After="1"
            )
        self._free_at = now + self._gap_s
        request.setHeader("Content-Type", "application/octet-stream")
        seed = f"{model}/{version}\n".encode()
        return (seed * (self._size_bytes // len(seed) + 1))[: self._size_bytes]

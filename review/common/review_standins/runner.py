"""A stand-in for one runner, written for the review.

It speaks what PROTOCOL.md says of a runner: prefill and decode with handles,
streams, plain requests, ``/report``, ``/kv-events``, ``/order``, health checks
and ``X-Expect-Instance``. What it got goes line by line to a ledger file.

``POST /standin/fault`` with a JSON object sets faults; see `Runner.fault`.
"""

import argparse
import asyncio
import json
import secrets
import time
from typing import Any

TOKENS_PER_S = 48_200
_REASONS = {200: "OK", 202: "Accepted", 404: "Not Found"}


def flip_bit(text: str, bit: int) -> str:
    """Returns a text with one bit of its first digit `0` flipped.

    Args:
        text: The text.
        bit: The value of the bit.
    """
    return text.replace("0", chr(ord("0") ^ bit), 1)


class Runner:
    """One runner of a service.

    Attributes:
        fault: The faults in force. ``spoil_handles`` is the share of answers
            to prefills in which one bit of the handle is flipped.
    """

    def __init__(
        self, *, id: str, stage: str, ledger: str, work_s: float, events: int
    ):
        """Creates a runner.

        Args:
            id: Its id.
            stage: ``plain``, ``prefill`` or ``decode``.
            ledger: The file that gets a line for each request.
            work_s: Time of a request, or until the first event of a stream.
            events: Number of events of a stream.
        """
        self.fault: dict[str, Any] = {}
        self._id = id
        self._stage = stage
        self._ledger = ledger
        self._work_s = work_s
        self._events = events
        self._handles: set[str] = set()
        self._prefills = 0
        self._orders = 0
        self._cached: set[str] = set()
        self._events_of_cache: list[list[Any]] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves the requests of one connection."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, uri, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        await self._answer(writer, method, uri, headers, body)
        await writer.drain()
        return headers.get("connection", "").lower() != "close"

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        uri: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        path = uri.partition("?")[0]
        if path == "/standin/fault":
            self.fault = json.loads(body)
            _write(writer, 200)
        elif path.startswith("/standin/take/"):
            handle = path.removeprefix("/standin/take/")
            is_kept = handle in self._handles
            self._handles.discard(handle)
            _write(writer, 200 if is_kept else 404)
        elif path == "/health":
            _write(writer, 200, headers={"X-Instance-Id": self._id})
        elif headers.get("x-expect-instance", self._id) != self._id:
            self._note("misdirected", headers, uri)
            _write(writer, 421, headers={"X-Not-Executed": "1"})
        elif path == "/report":
            found = {
                "stage": self._stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": self._orders,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 400000,
                "kv_handles": len(self._handles),
            }
            _write(writer, 200, json.dumps(found).encode())
        elif path == "/kv-events":
            since = int(uri.partition("since=")[2].partition("&")[0] or 0)
            found = {
                "epoch": 1,
                "next": len(self._events_of_cache),
                "lost": False,
                "events": self._events_of_cache[since:],
            }
            _write(writer, 200, json.dumps(found).encode())
        elif path == "/order":
            self._orders += 1
            self._note("ordered", headers, uri)
            _write(writer, 202)
        elif path.startswith("/kv-handle/"):
            self._handles.discard(path.removeprefix("/kv-handle/"))
            self._note("freed", headers, uri)
            _write(writer, 200)
        else:
            await self._work(writer, method, uri, headers, body)

    async def _work(
        self,
        writer: asyncio.StreamWriter,
        method: str,
        uri: str,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        self._note("arrived", headers, uri)
        wants_prefill = headers.get("x-serving-stage") == "prefill"
        if wants_prefill and self._stage != "prefill":
            _write(writer, 421, headers={"X-Not-Executed": "1"})
            return
        source = headers.get("x-kv-source")
        if self._stage == "plain":
            await asyncio.sleep(self._work_s)
        elif source is None:
            await asyncio.sleep(self._read(headers))
        if wants_prefill:
            self._prefill(writer, headers, uri)
            return
        if source is not None and not await _take(source):
            self._note("no handle", headers, uri, source=source)
            _write(writer, 503, headers={"X-Not-Executed": "1"})
            return
        self._note("ran", headers, uri)
        answer_headers = {
            "X-Request-Id": headers.get("x-request-id", ""),
            "X-Response-Stamp": f"stamp-{self._id}",
        }
        if self._stage == "plain":
            text = f"{self._id} answers {headers.get('x-request-id')}".encode()
            _write(writer, 200, text, answer_headers)
            return
        answer_headers["Content-Type"] = "text/event-stream"
        answer_headers["Transfer-Encoding"] = "chunked"
        _write_head(writer, 200, answer_headers)
        after = int(headers.get("last-event-id", 0))
        for number in range(after + 1, self._events + 1):
            event = f"id: {number}\ndata: {headers['x-request-id']}\n\n"
            writer.write(b"%x\r\n%s\r\n" % (len(event), event.encode()))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")

    def _read(self, headers: dict[str, str]) -> float:
        """Returns the seconds that reading a prompt takes, and caches it."""
        tokens = 0
        for entry in headers.get("x-prompt-prefix", "").split(","):
            part, _, count = entry.partition(":")
            if part in self._cached or not count:
                continue
            tokens += int(count)
            self._cached.add(part)
            number = len(self._events_of_cache)
            self._events_of_cache.append(
                [number, "+", "", part, int(count), "m"]
            )
        tokens_per_s = TOKENS_PER_S
        if self._stage == "decode":
            tokens_per_s /= 2
        return tokens / tokens_per_s

    def _prefill(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], uri: str
    ) -> None:
        # A handle has twelve hexadecimal digits, as in PROTOCOL.md.
        handle = "0" + secrets.token_hex(6)[1:]
        self._handles.add(handle)
        self._prefills += 1
        every = round(1 / self.fault.get("spoil_handles", 1e-9))
        is_spoilt = self._prefills % every == 0
        sent = flip_bit(handle, 0x10) if is_spoilt else handle
        self._note(
            "prefilled",
            headers,
            uri,
            handle=handle,
            sent=sent,
            spoilt=is_spoilt,
        )
        found = {"kv_handle": sent, "tokens": 1460, "version": 1}
        _write(writer, 200, json.dumps(found).encode())

    def _note(
        self, what: str, headers: dict[str, str], uri: str, **more: Any
    ) -> None:
        entry = {
            "at": round(time.time(), 4),
            "runner": self._id,
            "what": what,
            "request": headers.get("x-request-id"),
            "uri": uri,
            **more,
        }
        with open(self._ledger, "a", encoding="utf-8") as stream:
            stream.write(json.dumps(entry) + "\n")


async def _take(source: str) -> bool:
    """Fetches a KV cache from another runner; returns whether it had it.

    Args:
        source: IP:PORT/HANDLE.
    """
    address, _, handle = source.partition("/")
    host, _, port = address.rpartition(":")
    if not handle.isalnum():
        return False
    reader, writer = await asyncio.open_connection(host, int(port))
    request = f"POST /standin/take/{handle} HTTP/1.1"
    writer.write(f"{request}\r\nConnection: close\r\n\r\n".encode())
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


def _write_head(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str]
) -> None:
    reason = _REASONS.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))


def _write(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    found = dict(headers or {})
    found["Content-Length"] = str(len(body))
    _write_head(writer, status, found)
    writer.write(body)


async def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--stage", default="plain")
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--work-s", type=float, default=0.02)
    parser.add_argument("--events", type=int, default=5)
    options = parser.parse_args()
    runner = Runner(
        id=options.id,
        stage=options.stage,
        ledger=options.ledger,
        work_s=options.work_s,
        events=options.events,
    )
    server = await asyncio.start_server(runner.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    print(json.dumps({"address": f"127.0.0.1:{port}"}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(_main())

"""The protocol by which a host reaches an endpoint by way of a peer.

The host sends one frame that names the endpoint, and then the bytes for it as
they are. The peer answers with frames: first whether it has opened a
connection, then the endpoint's bytes, and at last how that connection ended.
Without frames, the end of the peer's process would look like a proper end of
the endpoint's connection, which may complete an answer.
"""

from collections.abc import Iterator
import enum
import struct

import msgspec

_HEAD = struct.Struct(">BI")

MAX_FRAME_BYTES = 1024 * 1024
"""Maximum size of a frame. Larger than any read from a socket, so a frame that
exceeds it is not one of this protocol."""


class FrameKind(enum.IntEnum):
    """Kinds of frames."""

    OPEN = 1
    REPLY = 2
    DATA = 3
    END = 4


class Status(enum.Enum):
    """What a peer replies.

    OPENED means that it has a connection to the endpoint. UNREACHED means that
    it has none although its other links are sound, LINK_LOST that others reach
    the endpoint, and CUT_OFF that its own links may be the cause. UNKNOWN
    means that it does not know this endpoint, BUSY that it relays as many
    connections as it can, and STOPPING that it is about to end. WITHHELD means
    that the endpoint is leaving or wants nothing from this peer. After any
    reply but OPENED, nothing was passed on.
    """

    OPENED = "opened"
    UNREACHED = "unreached"
    LINK_LOST = "link_lost"
    CUT_OFF = "cut_off"
    UNKNOWN = "unknown"
    BUSY = "busy"
    STOPPING = "stopping"
    WITHHELD = "withheld"


class Open(msgspec.Struct, array_like=True):
    """Asks a peer for a connection to an endpoint.

    Attributes:
        peer: The sender's name.
        endpoint: The endpoint's id.
        born_ms: When the endpoint started.
        may_be_leaving: Whether the connection is for a call that helps an
            endpoint that is leaving.
    """

    peer: str
    endpoint: str
    born_ms: int
    may_be_leaving: bool = False


class Reply(msgspec.Struct, array_like=True):
    """Replies to `Open`.

    Attributes:
        status: What came of it.
        reason: Text for logs.
        is_refused: Whether the endpoint refused the connection.
        withheld_ms: For how long the endpoint wants nothing from the peer, 0
            if that is not known.
    """

    status: Status
    reason: str = ""
    is_refused: bool = False
    withheld_ms: int = 0


_encoder = msgspec.msgpack.Encoder()
_open_decoder = msgspec.msgpack.Decoder(Open)
_reply_decoder = msgspec.msgpack.Decoder(Reply)


class FrameError(Exception):
    """Bytes that are no frame of this protocol."""


class FrameSplitter:
    """Splits received bytes into frames."""

    def __init__(self):
        self._buffered = bytearray()

    def feed(self, data: bytes) -> Iterator[tuple[FrameKind, bytes]]:
        """Yields the frames that are complete with these bytes.

        Raises:
            FrameError: The bytes are no frame.
        """
        self._buffered += data
        while len(self._buffered) >= _HEAD.size:
            kind, length = _HEAD.unpack_from(self._buffered)
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"frame of {length} bytes")
            end = _HEAD.size + length
            if len(self._buffered) < end:
                return
            body = bytes(self._buffered[_HEAD.size : end])
            del self._buffered[:end]
            try:
                yield FrameKind(kind), body
            except ValueError as error:
                raise FrameError(str(error)) from None


def make_frame(kind: FrameKind, body: bytes = b"") -> bytes:
    """Returns a frame."""
    return _HEAD.pack(kind, len(body)) + body


def encode_open(wanted: Open) -> bytes:
    """Returns the frame that asks for a connection."""
    return make_frame(FrameKind.OPEN, _encoder.encode(wanted))


def encode_reply(reply: Reply) -> bytes:
    """Returns the frame of a reply."""
    return make_frame(FrameKind.REPLY, _encoder.encode(reply))


def decode_open(body: bytes) -> Open:
    """Decodes the body of a frame of kind OPEN.

    Raises:
        FrameError: It is malformed.
    """
    return _decode(_open_decoder, body)


def decode_reply(body: bytes) -> Reply:
    """Decodes the body of a frame of kind REPLY.

    Raises:
        FrameError: It is malformed.
    """
    return _decode(_reply_decoder, body)


def _decode(decoder: msgspec.msgpack.Decoder, body: bytes):
    try:
        return decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise FrameError(str(error)) from None

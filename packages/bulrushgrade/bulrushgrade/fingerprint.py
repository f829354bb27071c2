"""Fingerprints that identify a request when its caller repeats it.

Each try of a caller has its own id and may come from another address. The
workspace, the requested resource and the body are the same in each try.
"""

import hashlib

DIGEST_BYTES = 12
"""Long enough that no caller can find a request with the same fingerprint as
another one."""

CALLER_DIGEST_BYTES = 8
"""Long enough to distinguish callers without revealing their addresses to other
hosts."""

_LENGTH_BYTES = 4


def make_caller_id(caller: str) -> str:
    """Returns the hexadecimal id of a caller in records."""
    return hashlib.blake2b(
        caller.encode(), digest_size=CALLER_DIGEST_BYTES
    ).hexdigest()


def make_rank(key: bytes, seed: str) -> bytes:
    """Returns the rank of a key in an order that depends on a seed."""
    return hashlib.blake2b(
        key + seed.encode(), digest_size=CALLER_DIGEST_BYTES
    ).digest()


def make_fingerprint(
    *, workspace: str, method: bytes, hostname: str, uri: bytes, body: bytes
) -> str:
    """Returns the hexadecimal fingerprint of a request.

    Args:
        workspace: The workspace's name; empty without workspaces.
        method: The HTTP method.
        hostname: The host name of its route.
        uri: The path and query.
        body: The complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (workspace.encode(), method, hostname.encode(), uri, body):
        # Without the lengths, the end of one part could be taken for the start
        # of the next.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()

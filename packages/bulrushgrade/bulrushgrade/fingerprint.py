"""Names a caller's request, so that it is known when it comes again.

Each try of a caller has an id of its own, and may come from another address.
What stays the same from one try to the next is whose it is, what it asks for
and the body.
"""

import hashlib

DIGEST_BYTES = 12
"""Long enough that no caller can find a request with another's fingerprint."""

CALLER_DIGEST_BYTES = 8
"""Tells callers apart, without naming their addresses to other hosts."""

_LENGTH_BYTES = 4


def make_caller_id(caller: str) -> str:
    """Returns what names a caller in records, in hexadecimal."""
    return hashlib.blake2b(
        caller.encode(), digest_size=CALLER_DIGEST_BYTES
    ).hexdigest()


def make_fingerprint(
    *, workspace: str, method: bytes, hostname: str, uri: bytes, body: bytes
) -> str:
    """Returns the fingerprint of a request, in hexadecimal.

    Args:
        workspace: Whose it is; empty where there are no workspaces.
        method: The HTTP method.
        hostname: The host name of its route.
        uri: Path and query.
        body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (workspace.encode(), method, hostname.encode(), uri, body):
        # Without the lengths the end of a part could pass for the beginning
        # of the next.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()

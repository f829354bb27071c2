"""Workspaces and the API keys that identify their callers.

Keys are secrets. Only their digests are kept, so that no dump, log line or
error can reveal one; a short prefix of the digest identifies a key to
operators. Digests are compared instead of keys, so that the time of a
comparison reveals nothing about a key.
"""

from collections.abc import Iterable
import enum
import hashlib

import attrs

KEY_ID_DIGITS = 8
"""Number of hexadecimal digits of a digest that identify a key."""


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer whose callers share keys.

    Attributes:
        name: The name used by endpoints and in reports.
        priority: The priority of its requests, which overrides that of the
            route; 0 is the most urgent. None keeps the priority of the route.
    """

    name: str
    priority: int | None = None


class Denial(enum.Enum):
    """The reason why a request can't be attributed to a workspace."""

    MISSING = "no key"
    UNKNOWN = "unknown key"
    AMBIGUOUS = "more than one key"


def digest_key(key: bytes) -> bytes:
    """Returns the digest of a key, the only form in which it is kept."""
    return hashlib.sha256(key).digest()


def make_key_id(digest: bytes) -> str:
    """Returns a short id of a key that does not reveal it."""
    return digest.hex()[:KEY_ID_DIGITS]


class KeyRing:
    """Finds the workspace of a key."""

    def __init__(self, *, keys: Iterable[tuple[bytes, Workspace]]):
        """Creates a key ring.

        Args:
            keys: Digests of keys, each with the workspace that owns it.
        """
        self._by_digest = dict(keys)
        self._lowest_priority = max(
            (owner.priority or 0 for owner in self._by_digest.values()),
            default=0,
        )

    def __len__(self) -> int:
        return len(self._by_digest)

    @property
    def lowest_priority(self) -> int:
        """The priority of the least urgent workspace that sets one."""
        return self._lowest_priority

    def find(self, digests: frozenset[bytes]) -> Workspace | Denial:
        """Returns the workspace of a request, or why there is none.

        Args:
            digests: The digests of the distinct keys in the request.
        """
        if not digests:
            return Denial.MISSING
        if len(digests) > 1:
            return Denial.AMBIGUOUS
        (digest,) = digests
        return self._by_digest.get(digest, Denial.UNKNOWN)

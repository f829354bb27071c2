"""Workspaces and the keys by which their callers are known.

Keys are secrets. Only their digests are kept, so that no dump, log line or
error can show one; a short prefix of the digest names a key to operators.
Digests are what is compared, so that how long it takes tells nothing of a key.
"""

from collections.abc import Iterable
import enum
import hashlib

import attrs

KEY_ID_DIGITS = 8
"""Hexadecimal digits of a digest that name a key to operators."""


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer whose callers share keys.

    Attributes:
        name: What endpoints and reports call it.
        priority: 0 is the most urgent; goes before the priority of a route.
            None leaves it to the route.
    """

    name: str
    priority: int | None = None


class Denial(enum.Enum):
    """Why a request is not taken for one of a workspace."""

    MISSING = "no key"
    UNKNOWN = "unknown key"
    AMBIGUOUS = "more than one key"


def digest_key(key: bytes) -> bytes:
    """Returns what is kept of a key."""
    return hashlib.sha256(key).digest()


def make_key_id(digest: bytes) -> str:
    """Returns the short id of a key, from which it can't be found."""
    return digest.hex()[:KEY_ID_DIGITS]


class KeyRing:
    """Finds the workspace of a key."""

    def __init__(self, *, keys: Iterable[tuple[bytes, Workspace]]):
        """Makes a ring.

        Args:
            keys: Digests of keys with the workspace that each belongs to.
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
        """The priority of the least urgent workspace that has one."""
        return self._lowest_priority

    def find(self, digests: frozenset[bytes]) -> Workspace | Denial:
        """Returns whose request it is by the digests of the keys it bears.

        Args:
            digests: One for each different key of the request.
        """
        if not digests:
            return Denial.MISSING
        if len(digests) > 1:
            return Denial.AMBIGUOUS
        (digest,) = digests
        return self._by_digest.get(digest, Denial.UNKNOWN)

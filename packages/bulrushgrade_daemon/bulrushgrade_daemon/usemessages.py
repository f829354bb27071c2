"""The use of workspaces in the messages that hosts exchange.

Keys are short hashes of the service and the workspace. Messages name only the
largest workspaces, so that their size doesn't grow with the number of all.
"""

import base64
import collections
import functools
import hashlib

from bulrushgrade import peersums
from bulrushgrade import workspaceshares

UNIT_TOKENS = 1000.0
"""Tokens per unit of use in messages, which carry hundredths: 10 tokens per
second. The sums of a fleet then take at most three bytes."""

MAX_NAMED_IN_GROUP = 2 * workspaceshares.MAX_NAMED
"""Workspaces of a service that an aggregator names to other aggregators. They
name fewer to their members. With the same number, a workspace just below the
limit in each group would be named by none, though one of the largest of all."""

_SERVICE_TAG, _WORKSPACE_TAG = 4, 8
"""Characters of a key that identify the service and the workspace, of six bits
each. A few services and thousands of workspaces practically never collide, and
a collision only joins the shares of two workspaces."""


@functools.lru_cache(maxsize=4096)
def make_key(service: str, workspace: str | None) -> str:
    """Returns the key of a workspace's use in messages.

    Args:
        service: The service's name.
        workspace: The workspace's name, None for all that have no own entry.
    """
    service_tag = _make_tag(service, _SERVICE_TAG)
    if workspace is None:
        return service_tag
    return service_tag + _make_tag(workspace, _WORKSPACE_TAG)


def _make_tag(name: str, length: int) -> str:
    digest = hashlib.blake2b(name.encode(), digest_size=length).digest()
    return base64.urlsafe_b64encode(digest).decode()[:length]


def condense(
    sums: peersums.Entries, totals: peersums.Entries, is_fleet: bool
) -> dict[str, peersums.Vector]:
    """Returns the sums of the largest workspaces, and one for the others.

    Args:
        sums: The sums to send, by key.
        totals: The known sums of all hosts, by key.
        is_fleet: Whether the sums are those of all hosts, not of a group.
    """
    limit = workspaceshares.MAX_NAMED if is_fleet else MAX_NAMED_IN_GROUP
    ranked = sorted(totals, key=lambda key: (-totals[key][0], key))
    named_counts: collections.Counter[str] = collections.Counter()
    found: dict[str, peersums.Vector] = {}
    for key in ranked:
        others = key[:_SERVICE_TAG]
        is_named = len(key) > _SERVICE_TAG and named_counts[others] < limit
        if is_named:
            named_counts[others] += 1
        if key in sums:
            kept = key if is_named else others
            before = found.get(kept, (0.0,) * len(sums[key]))
            found[kept] = tuple(map(sum, zip(before, sums[key], strict=True)))
    return found


def encode(use: workspaceshares.Use) -> peersums.Vector:
    """Returns the vector of a use."""
    return (
        use.offered / UNIT_TOKENS,
        use.served / UNIT_TOKENS,
        use.late,
        use.prompts,
    )


def decode(vector: peersums.Vector) -> workspaceshares.Use:
    """Returns the use of a vector; incorrect values below zero count as 0."""
    offered, served, late, prompts = vector
    return workspaceshares.Use(
        offered=max(0.0, offered * UNIT_TOKENS),
        served=max(0.0, served * UNIT_TOKENS),
        late=max(0.0, late),
        prompts=max(0.0, prompts),
    )

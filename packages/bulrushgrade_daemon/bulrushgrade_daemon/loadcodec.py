"""Converts loads and cache changes to and from their form in messages."""

from collections.abc import Iterable
import heapq

from bulrushgrade import enginecache
from bulrushgrade import peerloads
from bulrushgrade_daemon import gatewaymessages

MAX_ENGINES = 1000
"""Limit of engines in a message, so that it fits a datagram. The busiest ones
are sent."""

EngineChanges = tuple[str, tuple[enginecache.CacheChange, ...]]
"""An engine's id and the changes of its cache."""


def encode_shares(shares: peerloads.Shares) -> gatewaymessages.EngineLoads:
    """Returns shares in the form of a message."""
    return {
        engine: (
            {u: round(s * 1000) for u, s in share.queued_s.items()},
            share.streams,
            share.tokens,
        )
        for engine, share in _pick_busiest(shares)
    }


def _pick_busiest(
    shares: peerloads.Shares,
) -> Iterable[tuple[str, peerloads.EngineShare]]:
    if len(shares) <= MAX_ENGINES:
        return shares.items()

    def rank(item: tuple[str, peerloads.EngineShare]) -> tuple[float, int]:
        return sum(item[1].queued_s.values()), item[1].tokens

    return heapq.nlargest(MAX_ENGINES, shares.items(), key=rank)


def decode_shares(
    engines: gatewaymessages.EngineLoads,
) -> dict[str, peerloads.EngineShare]:
    """Returns the shares of a message."""
    return {
        engine: peerloads.EngineShare(
            queued_s={u: ms / 1000 for u, ms in queued_ms.items()},
            streams=streams,
            tokens=tokens,
        )
        for engine, (queued_ms, streams, tokens) in engines.items()
    }


def decode_changes(kept: gatewaymessages.CacheChanges) -> list[EngineChanges]:
    """Returns the cache changes of a message by engine."""
    return [
        (
            engine,
            tuple(
                enginecache.CacheChange(part=part, tokens=tokens)
                for part, tokens in parts
            ),
        )
        for engine, parts in kept.items()
    ]

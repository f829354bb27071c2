"""Which engines were lately sent a shared part, held by its hash owners.

Load: requests with the same long shared part come to many daemons within a
second or two. Harm: what an engine has in its cache is heard of a second
after it was read, and until then each daemon has the part read again, at
another engine. So hashing gives each part a few owners; whoever sends the part
to an engine reports that to them, and whoever has a prompt with it queries one
of them first.
"""

import enum

import attrs

from bulrushgrade import prompt as prompt_module

ENTRY_TTL_S = 5.0
"""How long an entry counts. By then whoever follows the engine's cache has
advertised it, also what pushed it out again."""


class HolderState(enum.StrEnum):
    """How far an engine is with a part."""

    COMING = "coming"
    KEPT = "kept"
    GONE = "gone"


@attrs.frozen(kw_only=True)
class PrefixHolder:
    """An engine that was sent a part.

    Attributes:
        engine: The engine's id.
        state: How far it is with it.
        parts: All shared parts that were sent, in order. The holder is
            entered under the longest of them.
    """

    engine: str
    state: HolderState
    parts: tuple[prompt_module.PromptPart, ...]


@attrs.frozen(kw_only=True)
class _Entry:
    holder: PrefixHolder
    at: float


class PrefixIndex:
    """The holders of the parts that a daemon owns."""

    def __init__(self):
        self._entries: dict[str, dict[str, _Entry]] = {}

    def __len__(self) -> int:
        return sum(len(holders) for holders in self._entries.values())

    def update(self, holder: PrefixHolder, now: float) -> None:
        """Enters what an engine was sent, has read, or gave up.

        Args:
            holder: The engine with at least one part.
            now: The present time in seconds.
        """
        anchor = prompt_module.anchor(holder.parts).id
        if holder.state is HolderState.GONE:
            self._entries.get(anchor, {}).pop(holder.engine, None)
            return
        entry = _Entry(holder=holder, at=now)
        self._entries.setdefault(anchor, {})[holder.engine] = entry

    def find(self, anchor: str, now: float) -> list[PrefixHolder]:
        """Returns the engines that were lately sent parts with an anchor."""
        return [
            entry.holder
            for entry in self._entries.get(anchor, {}).values()
            if now - entry.at < ENTRY_TTL_S
        ]

    def forget(self, now: float) -> None:
        """Drops entries that count no more."""
        for part, holders in list(self._entries.items()):
            for engine, entry in list(holders.items()):
                if now - entry.at >= ENTRY_TTL_S:
                    del holders[engine]
            if not holders:
                del self._entries[part]

"""Tracks engines that were recently ordered to change their stage.

While an engine changes from decode to prefill, it rejects all work for
seconds. When it is back, hosts that have not yet read its new record would
send it requests that it can't serve any more, which fails prompts that have a
single attempt. Therefore the host that orders a change tells the others, and
each host excludes the engine until it has read the record with the new stage.
The duration of a change alone is not a safe limit: running work may delay the
change, and requests sent too early are rejected as well.
"""

from collections.abc import Iterable

import attrs

from bulrushgrade import directory

RECORD_LAG_S = 4.0
"""Time after the duration of a change by which running work should have ended
and every host should have read the engine's record. An engine whose record
still has the old stage then did not change."""


@attrs.frozen(kw_only=True)
class _Change:
    stage: directory.Stage
    ends_at: float


class StageChanges:
    """The stage changes that this daemon was told of."""

    def __init__(self):
        self._changes: dict[tuple[str, int], _Change] = {}

    def record(
        self,
        engine: directory.Registration,
        stage: directory.Stage,
        *,
        change_s: float,
        now: float,
    ) -> None:
        """Records that an engine changes its stage.

        Args:
            engine: The engine as known now.
            stage: Its new stage.
            change_s: Duration of the change itself.
            now: The current time in seconds.
        """
        ends_at = now + change_s + RECORD_LAG_S
        change = _Change(stage=stage, ends_at=ends_at)
        self._changes[engine.incarnation] = change

    def exclude_changing(
        self, engines: Iterable[directory.Registration], now: float
    ) -> list[directory.Registration]:
        """Returns the engines that are not changing their stage."""
        return [e for e in engines if not self._is_changing(e, now)]

    def forget(self, now: float) -> None:
        """Drops changes that all hosts should know from records by now."""
        for incarnation, change in list(self._changes.items()):
            if now >= change.ends_at:
                del self._changes[incarnation]

    def _is_changing(self, engine: directory.Registration, now: float) -> bool:
        change = self._changes.get(engine.incarnation)
        if change is None or engine.stage is change.stage:
            return False
        return now < change.ends_at

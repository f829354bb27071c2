"""Engines that were told a moment ago to change their role.

Load: an engine changes from generating to reading while requests for it come
to every host. Harm: it turns all work away for seconds, and when it is back,
hosts that have not read its new record send it what it can't do any more,
which ends prompts that have one attempt. So the host that orders tells the
others, and each leaves the engine alone until it has read the record with the
new role. It is not used by the time that a change takes: running work may
delay the change, and what was sent too early is rejected as well.
"""

from collections.abc import Iterable

import attrs

from bulrushgrade import directory

RECORD_LAG_S = 4.0
"""After the time that a change takes, until when running work should have
ended and the engine's record be read everywhere. An engine whose record still
tells the old role then did not change."""


@attrs.frozen(kw_only=True)
class _Change:
    stage: directory.Stage
    ends_at: float


class StageChanges:
    """The changes that this daemon was told of."""

    def __init__(self):
        self._changes: dict[tuple[str, int], _Change] = {}

    def note(
        self,
        engine: directory.Registration,
        stage: directory.Stage,
        *,
        change_s: float,
        now: float,
    ) -> None:
        """Notes that an engine changes.

        Args:
            engine: The engine, as it is known now.
            stage: Its new role.
            change_s: How long the change takes by itself.
            now: The present time in seconds.
        """
        ends_at = now + change_s + RECORD_LAG_S
        change = _Change(stage=stage, ends_at=ends_at)
        self._changes[engine.incarnation] = change

    def exclude_changing(
        self, engines: Iterable[directory.Registration], now: float
    ) -> list[directory.Registration]:
        """Returns the engines that are not changing."""
        return [e for e in engines if not self._is_changing(e, now)]

    def forget(self, now: float) -> None:
        """Drops changes that records tell of by now."""
        for incarnation, change in list(self._changes.items()):
            if now >= change.ends_at:
                del self._changes[incarnation]

    def _is_changing(self, engine: directory.Registration, now: float) -> bool:
        change = self._changes.get(engine.incarnation)
        if change is None or engine.stage is change.stage:
            return False
        return now < change.ends_at

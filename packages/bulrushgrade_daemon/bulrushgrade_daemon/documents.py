"""Follows the stream of documents and keeps the accepted ones in force."""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
from returns.result import Failure

from bulrushgrade import offering as offering_module
from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry as registry_module
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import logclient


class Documents:
    """The accepted documents of this host."""

    name = "documents"
    requires = ("timer", "log")

    def __init__(
        self,
        *,
        timers: clock.TimerService,
        log: logclient.LogClient,
        rng: random.Random,
        on_accepted: Callable[[offering_module.Offering], None],
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            log: Reads the stream.
            rng: Source of jitter.
            on_accepted: Called with the offering whenever it has changed.
            on_broken: Called with the reason of a broken invariant.
        """
        self._timers = timers
        self._log = log
        self._on_accepted = on_accepted
        self._registry = registry_module.Registry()
        self._offering: offering_module.Offering | None = None
        self._end_offset: int | None = None
        self._digest = ""
        self._changed_at: float | None = None
        self._counts = {"records": 0, "accepted": 0, "refused": 0}
        self._tail = logclient.LogTail(
            log=log,
            timers=timers,
            stream=publication.STREAM,
            on_page=self._take_page,
            on_broken=on_broken,
            rng=rng,
        )

    @property
    def registry(self) -> registry_module.Registry:
        """The fold of the stream."""
        return self._registry

    @property
    def offering(self) -> offering_module.Offering | None:
        """The accepted documents, or None before the host may serve."""
        return self._offering

    @property
    def not_ready(self) -> str | None:
        """Why the host can't serve from what it has read, or None."""
        # Once it has served it goes on: accepted documents never revert, so
        # an older set is right for all but the newest changes, and refusing
        # for the time of an outage of the log would harm every caller.
        if self._offering is not None:
            return None
        state = self._registry.readiness(self._end_offset)
        return state.failure().reason if isinstance(state, Failure) else None

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    async def start(self) -> None:
        """Begins to follow the stream."""
        self._tail.start()

    async def stop(self) -> None:
        """Follows it no more."""
        self._tail.stop()

    def receive(self, message: Any) -> None:
        """Takes snapshots of peers, which help where the log is away."""
        if isinstance(message, publication.Snapshot):
            self.restore(message)

    def restore(self, snapshot: publication.Snapshot) -> None:
        """Takes over a peer's state where it is newer."""
        before = self._registry.next_offset
        self._registry.restore_snapshot(snapshot)
        if self._registry.next_offset != before:
            self._tail.seek(self._registry.read_offset)
            self._refresh()

    def dump(self) -> dict[str, Any]:
        """Returns the accepted revisions and how far the stream is read."""
        names = ("fleet", *sorted(self._registry.documents))
        accepted = {name: self._registry.accepted(name) for name in names}
        return {
            "not_ready": self.not_ready,
            "digest": self._digest,
            "counts": dict(self._counts),
            "reader": self._tail.dump(),
            "changed_at_s": self._changed_at,
            "accepted": {
                name: {"revision": revision.offset, "team": revision.team}
                for name, revision in accepted.items()
                if revision is not None
            },
        }

    def _take_page(self, page: record.Page) -> None:
        self._end_offset = page.end_offset
        self._registry.note_earliest(page.earliest_offset)
        for item in page.records:
            self._counts["records"] += 1
            outcome = self._registry.apply(item)
            if isinstance(outcome, publication.Verdict):
                counter = "accepted" if outcome.accepted else "refused"
                self._counts[counter] += 1
        self._tail.seek(self._registry.read_offset)
        self._refresh()

    def _refresh(self) -> None:
        if self._offering is None and isinstance(
            self._registry.readiness(self._end_offset), Failure
        ):
            return
        digest = self._registry.digest()
        if self._offering is not None and digest == self._digest:
            return
        self._digest = digest
        self._changed_at = self._timers.now
        self._offering = offering_module.make_offering(
            self._registry.documents.values(), self._registry.fleet
        )
        logging.info(
            "documents in force: %d services up to offset %d",
            len(self._offering.services),
            self._registry.next_offset,
        )
        self._on_accepted(self._offering)

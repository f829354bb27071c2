"""Follows the stream of documents and keeps the accepted ones in force."""

from collections.abc import Callable
import random
import secrets
from typing import Any

from absl import logging
import attrs
from returns.result import Failure

from bulrushgrade import checkpoint
from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry as registry_module
from bulrushgrade import serviceindex
from bulrushgrade_daemon import clock
from bulrushgrade_daemon import logclient
from bulrushgrade_daemon import task

# What the log keeps at the least, as `oncelog.OnceLimits` assumes it too. A log
# that keeps more holds a few checkpoints of a few MB more, which is no harm.
RETENTION_S = 3600.0
# Turns are seconds apart, so that looking once a second delays none.
CHECKPOINT_TICK_S = 1.0


@attrs.frozen(kw_only=True)
class LiveDaemons:
    """Who may append checkpoints.

    Attributes:
        own_address: This daemon's address, as the host list shows it.
        live: The addresses of the live daemons, this one included.
    """

    own_address: str
    live: tuple[str, ...]


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
        on_accepted: Callable[[serviceindex.ServiceIndex], None],
        on_broken: Callable[[str], None],
    ):
        """Makes the service.

        Args:
            timers: The timer service.
            log: Reads the stream.
            rng: Source of jitter.
            on_accepted: Called with the service index whenever it has changed.
            on_broken: Called with the reason of a broken invariant.
        """
        self._timers = timers
        self._log = log
        self._on_accepted = on_accepted
        self._registry = registry_module.Registry()
        self._service_index: serviceindex.ServiceIndex | None = None
        self._end_offset: int | None = None
        self._was_caught_up = False
        self._digest = ""
        self._changed_at: float | None = None
        self._earliest_offset = 0
        self._live_addresses: tuple[str, ...] = ()
        self._own_address = ""
        self._schedule: checkpoint.Schedule | None = None
        self._appending = False
        self._on_broken = on_broken
        self._tick: Any = None
        self._counts = dict.fromkeys(
            ("records", "accepted", "refused", "checkpoints"), 0
        )
        self._tail = logclient.LogTail(
            log=log,
            timers=timers,
            stream=publication.STREAM,
            on_page=self._apply_page,
            on_broken=on_broken,
            rng=rng,
        )

    @property
    def registry(self) -> registry_module.Registry:
        """The fold of the stream."""
        return self._registry

    @property
    def service_index(self) -> serviceindex.ServiceIndex | None:
        """The accepted documents, or None before the host may serve."""
        return self._service_index

    @property
    def not_ready_reason(self) -> str | None:
        """Why the host can't serve from what it has read, or None."""
        # Once it has served it goes on: accepted documents never revert, so
        # an older set is right for all but the newest changes, and refusing
        # for the time of an outage of the log would harm every caller.
        if self._service_index is not None:
            return None
        state = self._registry.readiness(self._end_offset)
        if isinstance(state, Failure):
            return state.failure().reason
        # An empty log, or the wrong one: a host that called itself ready
        # would take callers from those that know the services.
        return "no fleet document has been accepted yet"

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    async def start(self) -> None:
        """Begins to follow the stream."""
        self._tail.start()
        self._tick = self._timers.every(
            CHECKPOINT_TICK_S, self._append_checkpoint_if_due
        )

    async def stop(self) -> None:
        """Follows it no more."""
        self._tick.cancel()
        self._tail.stop()

    def receive(self, message: Any) -> None:
        """Takes snapshots of peers, and who may append checkpoints."""
        if isinstance(message, publication.Snapshot):
            self.restore(message)
        elif isinstance(message, LiveDaemons):
            self._update_daemons(message)

    def restore(self, snapshot: publication.Snapshot) -> None:
        """Takes over a peer's state where it is newer."""
        before = self._registry.next_offset
        self._registry.restore_snapshot(snapshot)
        if self._registry.next_offset != before:
            self._tail.seek(self._registry.read_offset)
            self._refresh_service_index()

    def dump(self) -> dict[str, Any]:
        """Returns the accepted revisions and how far the stream is read."""
        names = ("fleet", *sorted(self._registry.documents))
        accepted = {
            name: self._registry.accepted_revision(name) for name in names
        }
        return {
            "not_ready": self.not_ready_reason,
            "digest": self._digest,
            "counts": dict(self._counts),
            "reader": self._tail.dump(),
            "changed_at_s": self._changed_at,
            "checkpoint": self._describe_checkpoint(),
            "accepted": {
                name: {"revision": revision.offset, "team": revision.team}
                for name, revision in accepted.items()
                if revision is not None
            },
        }

    def _describe_checkpoint(self) -> dict[str, int] | None:
        last = self._registry.last_checkpoint
        if last is None:
            return None
        return {
            "first_offset": last.first_offset,
            "next_offset": last.snapshot.next_offset,
        }

    def _apply_page(self, page: record.Page) -> None:
        # A checkpoint read by one who had read all before it has just been
        # written; others may be old.
        fresh = self._was_caught_up
        self._was_caught_up = self._tail.caught_up
        self._end_offset = page.end_offset
        self._earliest_offset = page.earliest_offset
        self._registry.observe_earliest_offset(page.earliest_offset)
        for item in page.records:
            self._counts["records"] += 1
            outcome = self._registry.apply(item)
            if isinstance(outcome, publication.Verdict):
                counter = "accepted" if outcome.accepted else "refused"
                self._counts[counter] += 1
        last = self._registry.last_checkpoint
        if last is not None and self._schedule is not None:
            now = self._timers.now
            self._schedule.observe_checkpoint(last, now=now, fresh=fresh)
        self._tail.seek(self._registry.read_offset)
        self._refresh_service_index()

    def _update_daemons(self, message: LiveDaemons) -> None:
        self._live_addresses = message.live
        if self._schedule is None or self._own_address != message.own_address:
            self._own_address = message.own_address
            self._schedule = checkpoint.Schedule(
                address=message.own_address,
                retention_s=RETENTION_S,
                now=self._timers.now,
            )
            last = self._registry.last_checkpoint
            if last is not None:
                self._schedule.observe_checkpoint(
                    last, now=self._timers.now, fresh=False
                )

    def _append_checkpoint_if_due(self) -> None:
        """Appends a checkpoint where it is this daemon's turn.

        Without one, the documents would be gone with the log's oldest
        records: daemons that run keep them, but once all are restarted
        nobody could tell what was accepted, and none would serve.
        """
        if self._schedule is None or self._appending:
            return
        if not self._tail.caught_up or not self._log.reachable:
            return
        ready = self._registry.readiness(self._end_offset)
        if isinstance(ready, Failure):
            return
        now = self._timers.now
        reason = self._schedule.find_due_reason(
            now=now,
            hosts=self._live_addresses,
            next_offset=self._registry.next_offset,
            earliest_offset=self._earliest_offset,
        )
        if reason is None:
            return
        self._schedule.record_append(now)
        self._counts["checkpoints"] += 1
        self._appending = True
        task.spawn(
            self._append_checkpoint(),
            name="checkpoint",
            on_broken=self._on_broken,
        )

    async def _append_checkpoint(self) -> None:
        checkpoint_id = secrets.token_hex(16)
        bodies = checkpoint.serialize_checkpoint(
            self._registry.snapshot(), checkpoint_id=checkpoint_id
        )
        try:
            for number, body in enumerate(bodies):
                append = record.Append(
                    stream=publication.STREAM,
                    record_id=f"{checkpoint_id}-{number}",
                    body=body,
                )
                stored = await self._log.append(publication.STREAM, [append])
                if isinstance(stored, Failure):
                    # The parts that stand are no checkpoint and do no harm;
                    # the schedule has another daemon, or this one, try anew.
                    return
        finally:
            self._appending = False

    def _refresh_service_index(self) -> None:
        if self._service_index is None and (
            self._registry.fleet is None
            or isinstance(self._registry.readiness(self._end_offset), Failure)
        ):
            return
        digest = self._registry.digest()
        if self._service_index is not None and digest == self._digest:
            return
        self._digest = digest
        self._changed_at = self._timers.now
        self._service_index = serviceindex.build_service_index(
            self._registry.documents.values(), self._registry.fleet
        )
        logging.info(
            "documents in force: %d services up to offset %d",
            len(self._service_index.services),
            self._registry.next_offset,
        )
        self._on_accepted(self._service_index)

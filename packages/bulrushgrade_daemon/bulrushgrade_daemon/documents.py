"""Follows the documents stream and maintains the accepted documents."""

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

# The shortest retention of the log, as `oncelog.OnceLimits` assumes it too.
# With a longer one the log just holds a few more checkpoints of a few MB each.
RETENTION_S = 3600.0
# The daemons' turns to append are seconds apart, so checking once a second
# delays no checkpoint.
CHECKPOINT_TICK_S = 1.0


@attrs.frozen(kw_only=True)
class LiveDaemons:
    """The daemons that may append checkpoints.

    Attributes:
        own_address: This daemon's address, as the host list shows it.
        live: The addresses of the live daemons, this one included.
    """

    own_address: str
    live: tuple[str, ...]


class Documents:
    """Holds the accepted documents of this host."""

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
            on_accepted: Called with the service index whenever it changes.
            on_broken: Called with the reason when an invariant is broken.
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
        """The state folded from the stream."""
        return self._registry

    @property
    def service_index(self) -> serviceindex.ServiceIndex | None:
        """The index of accepted services, or None before the host may serve."""
        return self._service_index

    @property
    def not_ready_reason(self) -> str | None:
        """The reason why the host can't serve yet, or None if it can."""
        # A host that was ready once stays ready: accepted documents never
        # revert, so an older set lacks only the newest changes, while refusing
        # requests during an outage of the log would harm every caller.
        if self._service_index is not None:
            return None
        state = self._registry.readiness(self._end_offset)
        if isinstance(state, Failure):
            return state.failure().reason
        # The log is empty or the wrong one. A host that reported ready would
        # attract callers from hosts that know the services.
        return "no fleet document has been accepted yet"

    @property
    def counts(self) -> dict[str, int]:
        """The counters, by name."""
        return self._counts

    async def start(self) -> None:
        """Starts to follow the stream."""
        self._tail.start()
        self._tick = self._timers.every(
            CHECKPOINT_TICK_S, self._append_checkpoint_if_due
        )

    async def stop(self) -> None:
        """Stops following the stream."""
        self._tick.cancel()
        self._tail.stop()

    def receive(self, message: Any) -> None:
        """Handles snapshots of peers and changes of the live daemons."""
        if isinstance(message, publication.Snapshot):
            self.restore(message)
        elif isinstance(message, LiveDaemons):
            self._update_daemons(message)

    def restore(self, snapshot: publication.Snapshot) -> None:
        """Adopts a peer's state if it is newer."""
        before = self._registry.next_offset
        self._registry.restore_snapshot(snapshot)
        if self._registry.next_offset != before:
            self._tail.seek(self._registry.read_offset)
            self._refresh_service_index()

    def dump(self) -> dict[str, Any]:
        """Returns the accepted revisions and the position in the stream."""
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
        # A checkpoint is known to be new only if this host had read the whole
        # stream before it; otherwise it may be old.
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
        """Appends a checkpoint if it is this daemon's turn to do so.

        Without checkpoints the documents would be lost with the log's oldest
        records. Running daemons keep them in memory, but once all of them have
        restarted none would know what was accepted, and none would serve.
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
                    # Parts that were stored are ignored, as they form no
                    # whole checkpoint. The schedule makes another daemon, or
                    # this one, try again.
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
            "accepted documents: %d services up to offset %d",
            len(self._service_index.services),
            self._registry.next_offset,
        )
        self._on_accepted(self._service_index)

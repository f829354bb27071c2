"""Distributed index of engines' queues and of the holders of shared parts.

Each engine's queue and each shared part is owned by daemons that are chosen by
hashing; all daemons that see the same peers find the same owners. Daemons
report long prefills to the owners and query them before they place a long
prompt. A query costs a few milliseconds; a prompt queued behind others, or a
part that is prefilled twice, costs hundreds.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
from typing import Any

from bulrushgrade import engineload
from bulrushgrade import enginequeue
from bulrushgrade import prefillqueue
from bulrushgrade import prefixindex
from bulrushgrade import prompt as prompt_module
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerqueries

FORGET_PERIOD_S = 1.0
"""Interval between searches for expired entries."""


class PlacementIndex:
    """Queues and parts that this daemon owns, and queries to other owners."""

    name = "placementindex"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        find_owners: Callable[[str], list[str]],
        send: Callable[[str, gatewaymessages.Message], bool],
    ):
        """Creates the service.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            find_owners: Returns the owners of an engine's queue or a part;
                the first one is queried.
            send: Sends a message to a peer; returns whether the peer's
                address is known.
        """
        self._timers = timers
        self._own_name = own_name
        self._find_owners = find_owners
        self._send = send
        self._queries = peerqueries.PeerQueries(timers=timers, send=send)
        self._queues = enginequeue.EngineQueues()
        self._parts = prefixindex.PrefixIndex()
        self._numbers = itertools.count(1)
        self._tick: Any = None

    @property
    def counts(self) -> dict[str, int]:
        """Queries to peers, and those without all replies in time."""
        return self._queries.counts

    async def start(self) -> None:
        """Starts dropping expired entries."""
        self._tick = self._timers.every(FORGET_PERIOD_S, self._forget)

    async def stop(self) -> None:
        """Stops dropping expired entries."""
        if self._tick is not None:
            self._tick.cancel()

    def receive(self, message: Any) -> None:
        """Handles peers' queries, replies and reports on engines and parts."""
        now = self._timers.now
        match message:
            case gatewaymessages.WaitQuery(peer, number):
                self._send(
                    peer,
                    self._make_wait_reply(
                        number, message.engines, message.urgency
                    ),
                )
            case gatewaymessages.HolderQuery(peer, number, part):
                self._send(peer, self._make_holder_reply(number, part))
            case gatewaymessages.WaitReply() | gatewaymessages.HolderReply():
                self._queries.handle_reply(message)
            case gatewaymessages.Begun(peer, number, engine):
                entry = prefillqueue.Entry(
                    seconds=message.reading_ms / 1000,
                    latency_s=message.latency_ms / 1000,
                    urgency=message.urgency,
                    added_at=now,
                )
                self._queues.begin(engine, (peer, number), entry)
            case gatewaymessages.Ended(peer, number, engine):
                self._queues.end(engine, (peer, number), now)
            case gatewaymessages.HolderUpdate(parts=parts) if parts:
                self._parts.update(_parse_holder(message), now)

    def dump(self) -> dict[str, Any]:
        """Returns the number of entries that this daemon owns."""
        return {
            "readings": len(self._queues),
            "parts": len(self._parts),
            **self.counts,
        }

    async def query_waits(
        self, engines: Iterable[str], urgency: int
    ) -> dict[str, float]:
        """Returns how long a prompt would wait, by engine.

        Engines whose owner did not reply in time are left out.

        Args:
            engines: The engines' ids.
            urgency: The prompt's urgency; 0 is prefilled first.
        """
        queried: dict[str, list[str]] = {}
        for engine in engines:
            queried.setdefault(self._find_owners(engine)[0], []).append(engine)
        own = queried.pop(self._own_name, [])
        replies = await self._queries.query(
            {
                owner: functools.partial(
                    gatewaymessages.WaitQuery,
                    self._own_name,
                    engines=owned,
                    urgency=urgency,
                )
                for owner, owned in queried.items()
            }
        )
        waits_ms = self._make_wait_reply(0, own, urgency).waits_ms
        for reply in replies:
            waits_ms |= reply.waits_ms
        return {engine: ms / 1000 for engine, ms in waits_ms.items()}

    async def query_holders(self, part: str) -> list[prefixindex.PrefixHolder]:
        """Returns the engines that were recently sent a shared part.

        Returns none if the owner did not reply in time.

        Args:
            part: The part's id.
        """
        owner = self._find_owners(part)[0]
        if owner == self._own_name:
            return self._parts.find(part, self._timers.now)
        question = functools.partial(
            gatewaymessages.HolderQuery, self._own_name, part=part
        )
        replies = await self._queries.query({owner: question})
        return [
            _parse_holder(holder)
            for reply in replies
            for holder in reply.holders
            if holder.parts
        ]

    def begin(
        self,
        engine: str,
        prefill: engineload.PendingPrefill,
        parts: tuple[prompt_module.PromptPart, ...] = (),
    ) -> Callable[[bool], None]:
        """Reports the start of a prefill; returns a function to report its end.

        The returned function takes whether the prompt was prefilled. Only its
        first call counts.

        Args:
            engine: The engine's id.
            prefill: The prefill.
            parts: Shared parts that the engine will hold afterwards.
        """
        owners, number = self._find_owners(engine), next(self._numbers)
        begun = gatewaymessages.Begun(
            peer=self._own_name,
            number=number,
            engine=engine,
            reading_ms=round(prefill.expected_s * 1000),
            latency_ms=round(prefill.latency_s * 1000),
            urgency=prefill.urgency,
        )
        self._report(owners, begun)
        self._report_parts(engine, prefixindex.HolderState.COMING, parts)
        is_reported = False

        def end(was_prefilled: bool) -> None:
            nonlocal is_reported
            if is_reported:
                return
            is_reported = True
            ended = gatewaymessages.Ended(
                peer=self._own_name, number=number, engine=engine
            )
            self._report(owners, ended)
            state = prefixindex.HolderState.GONE
            if was_prefilled:
                state = prefixindex.HolderState.KEPT
            self._report_parts(engine, state, parts)

        return end

    def _report_parts(
        self,
        engine: str,
        state: prefixindex.HolderState,
        parts: tuple[prompt_module.PromptPart, ...],
    ) -> None:
        if parts:
            holder = prefixindex.PrefixHolder(
                engine=engine, state=state, parts=parts
            )
            owners = self._find_owners(prompt_module.anchor(parts).id)
            self._report(owners, _make_update(holder))

    def _report(
        self, owners: list[str], message: gatewaymessages.Message
    ) -> None:
        for owner in owners:
            if owner == self._own_name:
                self.receive(message)
            else:
                self._send(owner, message)

    def _make_wait_reply(
        self, number: int, engines: list[str], urgency: int
    ) -> gatewaymessages.WaitReply:
        now = self._timers.now
        return gatewaymessages.WaitReply(
            peer=self._own_name,
            number=number,
            waits_ms={
                engine: round(
                    self._queues.wait_s(engine, now, urgency=urgency) * 1000
                )
                for engine in engines
            },
        )

    def _make_holder_reply(
        self, number: int, part: str
    ) -> gatewaymessages.HolderReply:
        holders = self._parts.find(part, self._timers.now)
        return gatewaymessages.HolderReply(
            peer=self._own_name,
            number=number,
            holders=[_make_update(holder) for holder in holders],
        )

    def _forget(self) -> None:
        self._queues.forget(self._timers.now)
        self._parts.forget(self._timers.now)


def _make_update(
    holder: prefixindex.PrefixHolder,
) -> gatewaymessages.HolderUpdate:
    return gatewaymessages.HolderUpdate(
        engine=holder.engine,
        state=holder.state,
        parts=[(part.id, part.tokens) for part in holder.parts],
    )


def _parse_holder(
    update: gatewaymessages.HolderUpdate,
) -> prefixindex.PrefixHolder:
    return prefixindex.PrefixHolder(
        engine=update.engine,
        state=update.state,
        parts=tuple(
            prompt_module.PromptPart(id=part, tokens=tokens)
            for part, tokens in update.parts
        ),
    )

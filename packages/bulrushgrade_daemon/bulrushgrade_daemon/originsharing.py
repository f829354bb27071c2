"""Shares among hosts which software version began a stream.

A host tells others before its caller gets the first byte, since it may be gone
when the caller asks another host for the rest. Nothing is sent while a single
version serves: it began every stream, and each host knows it.
"""

from collections.abc import Callable
import functools
from typing import Any

import attrs

from bulrushgrade import directory
from bulrushgrade import rendezvous
from bulrushgrade import routing
from bulrushgrade import softwareversions
from bulrushgrade import streamorigins
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import inflight
from bulrushgrade_daemon import peerqueries

COPIES = 2
"""Peers that are told of a stream. One of them may end with the host."""

MAX_ASKED = 4
"""Peers that are asked for a stream: those that were told, as far as hosts
that have come or gone since do not rank before them."""

ANNOUNCE_PERIOD_S = 0.1
"""Interval between checks whether open streams have to be announced because a
second version has begun to serve."""

FORGET_PERIOD_S = 1.0
"""Interval between searches for streams that can't be resumed any more."""

RECORDS_CHECK_S = 0.05
"""Interval between checks whether records have been read anew."""

MIN_MEMORY_S = 10.0
MEMORY_TIMEOUTS = 2.0
"""Streams are remembered for this number of the longest timeouts of their
service's routes, and at least for so many seconds: callers may allow more time
than the route. A host that has followed the records for as long can tell which
version is the only one, so that it should not be much longer than streams."""


_DISPUTED = ""
"""Stands for the service of a stream if it is not certain what began it."""


@attrs.frozen(kw_only=True)
class Knowledge:
    """Where the service gets what it knows.

    Attributes:
        table: Returns the routes in force, or None before the first.
        software: The versions that endpoints have run.
        age_s: Returns the age of the endpoints' records, None before the first.
        settle_s: Time until every host in contact with the store knows a
            change of an endpoint.
        present: Returns the daemons that are present, this one first.
        has_peers: Returns whether there may be other hosts.
    """

    table: Callable[[], routing.RouteTable | None]
    software: softwareversions.SoftwareVersions
    age_s: Callable[[], float | None]
    settle_s: float
    present: Callable[[], list[str]]
    has_peers: Callable[[], bool]


@attrs.define(kw_only=True)
class _OwnStream:
    """A stream that this host began or went on with.

    Attributes:
        origin: What began it.
        incarnation: The endpoint.
        began_at: When its first event came.
        expires_at: When its caller can't resume it any more.
        is_announced: Whether peers were told.
    """

    origin: streamorigins.Origin
    incarnation: tuple[str, int]
    began_at: float
    expires_at: float
    is_announced: bool = False


class OriginSharing:
    """The origins of streams, from this host and from peers."""

    name = "originsharing"
    requires = ("timer",)

    def __init__(
        self,
        *,
        timers: Any,
        own_name: str,
        knowledge: Knowledge,
        send: Callable[[str, gatewaymessages.Message], bool],
        log: decisionlog.DecisionLog,
    ):
        """Creates the service.

        Args:
            timers: The timer service.
            own_name: This daemon's name among its peers.
            knowledge: Where it gets what it knows.
            send: Sends a message to a peer; returns whether its address is
                known.
            log: Gets a line for each stream to be resumed, and for each
                endpoint whose streams are disputed.
        """
        self._timers = timers
        self._own_name = own_name
        self._knowledge = knowledge
        self._send = send
        self._log = log
        self._queries = peerqueries.PeerQueries(timers=timers, send=send)
        self._records = streamorigins.OriginRecords()
        self._own: dict[bytes, _OwnStream] = {}
        self._counts = {
            "announced": 0,
            "disputed": 0,
            "found": 0,
            "unknown": 0,
        }
        self._ticks: list[Any] = []
        knowledge.software.subscribe(self._dispute_streams_at)

    @property
    def counts(self) -> dict[str, int]:
        """Streams by what was done or found; queries to peers."""
        return {**self._counts, **self._queries.counts}

    @property
    def is_current(self) -> bool:
        """Whether each change of an endpoint is known that others may use."""
        age_s = self._knowledge.age_s()
        return age_s is not None and age_s <= self._knowledge.settle_s

    async def start(self) -> None:
        """Starts announcing open streams when they have to be."""
        self._ticks = [
            self._timers.every(ANNOUNCE_PERIOD_S, self._announce_due),
            self._timers.every(FORGET_PERIOD_S, self._forget),
        ]

    async def stop(self) -> None:
        """Stops announcing streams."""
        for tick in self._ticks:
            tick.cancel()

    def dump(self) -> dict[str, Any]:
        """Returns the number of streams known, and the counts."""
        return {
            "streams": len(self._records),
            "own": len(self._own),
            "is_current": self.is_current,
            **self.counts,
        }

    def receive(self, message: Any) -> None:
        """Handles peers' announcements, queries and replies."""
        match message:
            case gatewaymessages.StreamOrigin(key, service, software, left_ms):
                if service == _DISPUTED:
                    expires_at = self._timers.now + left_ms / 1000
                    self._dispute(key, expires_at)
                    return
                origin = streamorigins.Origin(
                    service=service, software=software
                )
                self._put(key, origin, left_ms / 1000)
            case gatewaymessages.OriginQuery(peer):
                self._send(peer, self._make_reply(message))
            case gatewaymessages.OriginReply():
                self._queries.handle_reply(message)

    def record(self, request: inflight.InFlight) -> None:
        """Records what begins a stream; call it before the first byte is sent.

        Args:
            request: The request, whose origin is set.
        """
        origin, key = request.origin, _find_key(request)
        if key is None or not request.may_be_resumed:
            return
        left_s = max(
            request.left_s(self._timers.now), request.info.deadline_s or 0.0
        )
        expires_at = self._put(key, origin, left_s)
        endpoint = request.endpoint
        if endpoint.born_ms and not self.is_current:
            # Another start may have its id by now, and other software.
            self._dispute(key, expires_at)
            return
        self._own[key] = _OwnStream(
            origin=origin,
            incarnation=endpoint.incarnation,
            began_at=self._timers.now,
            expires_at=expires_at,
        )
        if len(request.route.targets) > 1 or self._has_to_tell(origin.service):
            self._announce(key, self._own[key])

    def is_disputed(self, request: inflight.InFlight) -> bool:
        """Returns whether it is not certain what began a request's stream."""
        key = _find_key(request)
        if key is None:
            return False
        return self._records.find(key, now=self._timers.now).is_disputed

    async def find(
        self, request: inflight.InFlight
    ) -> streamorigins.Origin | None:
        """Returns what began the stream that a caller wants the rest of.

        None if that is not certain.
        """
        targets = request.route.targets
        service = targets[0].service if len(targets) == 1 else None
        key = _find_key(request) if request.info.resumes else None
        own = self._view(key, service)
        peers: list[streamorigins.OriginView] = []
        if own.origin is None and not own.is_disputed:
            peers = await self._query(key, service)
            if not peers and own.sole is not None:
                await self._wait_for_records()
                own = self._view(key, service)
        found = streamorigins.resolve(own, peers, service=service)
        self._counts["unknown" if found is None else "found"] += 1
        age_s = self._knowledge.age_s()
        self._log.note(
            "stream_origin",
            request=request.info.request_id,
            resumes=request.info.resumes,
            service=service if found is None else found.service,
            software=None if found is None else found.software,
            is_recorded=own.origin is not None,
            is_disputed=own.is_disputed,
            sole=own.sole,
            has_several=own.has_several,
            covers=own.covers,
            replies=len(peers),
            told=sum(one.origin is not None for one in peers),
            age_s=None if age_s is None else round(age_s, 3),
        )
        return found

    def is_settled(self, service: str, software: str) -> bool:
        """Returns whether every host in contact knows a version of a service.

        A host that didn't know it could take another version for the only one.
        """
        return self._knowledge.software.is_settled(
            service,
            software,
            now=self._timers.now,
            settle_s=self._knowledge.settle_s,
        )

    async def _query(
        self, key: bytes | None, service: str | None
    ) -> list[streamorigins.OriginView]:
        make_query = functools.partial(
            gatewaymessages.OriginQuery,
            self._own_name,
            key=key,
            service=service,
        )
        asked = self._rank_peers(key or b"", MAX_ASKED)
        replies = await self._queries.query(dict.fromkeys(asked, make_query))
        return [_read_reply(reply) for reply in replies]

    async def _wait_for_records(self) -> None:
        """Waits for records of endpoints as of now, or until they are old.

        A host that hears no peer can't be told of a stream that an endpoint
        began of which it has not read yet.
        """
        if not self._knowledge.has_peers():
            return
        waited_s, asked_at = 0.0, self._timers.now
        while self.is_current and waited_s < self._knowledge.settle_s:
            if self._knowledge.age_s() <= waited_s:
                return
            await self._timers.sleep(RECORDS_CHECK_S)
            waited_s = self._timers.now - asked_at

    def _view(
        self, key: bytes | None, service: str | None
    ) -> streamorigins.OriginView:
        """Returns what this host knows of a stream and of its service."""
        now = self._timers.now
        known = streamorigins.OriginView()
        if key is not None:
            known = self._records.find(key, now=now)
        if service is None:
            return known
        memory_s = self._memory_s(service)
        software = self._knowledge.software
        versions = software.find(service, now=now, memory_s=memory_s)
        is_sole = self.is_current and len(versions) == 1
        return attrs.evolve(
            known,
            sole=versions[0] if is_sole else None,
            has_several=len(versions) > 1,
            covers=software.covers(now=now, memory_s=memory_s),
        )

    def _has_to_tell(self, service: str) -> bool:
        """Returns whether peers have to be told of a service's streams."""
        return not self._view(None, service).is_certain

    def _put(
        self, key: bytes, origin: streamorigins.Origin, left_s: float
    ) -> float:
        """Records an origin; returns when it expires."""
        now = self._timers.now
        expires_at = now + min(left_s, self._memory_s(origin.service))
        self._records.put(key, origin, expires_at=expires_at)
        return expires_at

    def _memory_s(self, service: str) -> float:
        """Returns how long streams of a service are remembered."""
        table = self._knowledge.table()
        timeout_s = (
            0.0 if table is None else table.limits(service).max_timeout_s
        )
        longest_s = max(MIN_MEMORY_S, MEMORY_TIMEOUTS * timeout_s)
        return min(longest_s, softwareversions.MAX_MEMORY_S)

    def _announce_due(self) -> None:
        waiting = [
            (key, stream)
            for key, stream in self._own.items()
            if not stream.is_announced
        ]
        services = {stream.origin.service for _, stream in waiting}
        to_tell = {one for one in services if self._has_to_tell(one)}
        for key, stream in waiting:
            if stream.origin.service in to_tell:
                self._announce(key, stream)

    def _announce(self, key: bytes, stream: _OwnStream) -> None:
        stream.is_announced = True
        self._counts["announced"] += 1
        self._tell(key, stream.origin, stream.expires_at)

    def _tell(
        self, key: bytes, origin: streamorigins.Origin, expires_at: float
    ) -> None:
        left_s = expires_at - self._timers.now
        if left_s <= 0:
            return
        message = gatewaymessages.StreamOrigin(
            key=key,
            service=origin.service,
            software=origin.software,
            left_ms=round(left_s * 1000),
        )
        for peer in self._rank_peers(key, COPIES):
            self._send(peer, message)

    def _dispute_streams_at(self, replaced: directory.Registration) -> None:
        """Disputes streams that another start of an endpoint may have begun.

        Their requests were sent after it had come and before this host read of
        it.
        """
        oldest = self._timers.now - self._knowledge.settle_s
        disputed = 0
        for key, stream in list(self._own.items()):
            if stream.incarnation != replaced.incarnation:
                continue
            if stream.began_at < oldest:
                continue
            del self._own[key]
            disputed += 1
            self._dispute(key, stream.expires_at)
            if stream.is_announced:
                unknown = attrs.evolve(stream.origin, service=_DISPUTED)
                self._tell(key, unknown, stream.expires_at)
        if disputed:
            self._log.note(
                "streams_disputed",
                endpoint=replaced.id,
                born_ms=replaced.born_ms,
                software=replaced.software,
                streams=disputed,
            )

    def _dispute(self, key: bytes, expires_at: float) -> None:
        self._counts["disputed"] += 1
        self._records.dispute(key, expires_at=expires_at)

    def _rank_peers(self, key: bytes, count: int) -> list[str]:
        peers = self._knowledge.present()[1:]
        return rendezvous.pick(key.hex(), peers, count)

    def _make_reply(
        self, query: gatewaymessages.OriginQuery
    ) -> gatewaymessages.OriginReply:
        known = self._view(query.key, query.service)
        origin = known.origin
        return gatewaymessages.OriginReply(
            peer=self._own_name,
            number=query.number,
            origin=origin and (origin.service, origin.software),
            is_disputed=known.is_disputed,
            sole=known.sole,
            has_several=known.has_several,
            covers=known.covers,
        )

    def _forget(self) -> None:
        now = self._timers.now
        self._records.forget(now)
        self._own = {
            key: stream
            for key, stream in self._own.items()
            if stream.expires_at > now
        }


def _find_key(request: inflight.InFlight) -> bytes | None:
    """Returns the key of a request's stream, None if it has no id."""
    id = request.info.resumes or request.info.request_id
    return streamorigins.make_key(id) if id else None


def _read_reply(
    reply: gatewaymessages.OriginReply,
) -> streamorigins.OriginView:
    origin = None
    if reply.origin is not None:
        service, software = reply.origin
        origin = streamorigins.Origin(service=service, software=software)
    return streamorigins.OriginView(
        origin=origin,
        is_disputed=reply.is_disputed,
        sole=reply.sole,
        has_several=reply.has_several,
        covers=reply.covers,
    )

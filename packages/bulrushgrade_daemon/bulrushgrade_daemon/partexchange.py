"""Exchanges with peers which prompt parts were at crashes.

The news travel in the messages that carry loads, so that they reach all hosts
of a fleet of any size, and also while the store is unavailable. Only the few
parts that were at several crashes are told again later.
"""

from typing import Any

from bulrushgrade import partblame
from bulrushgrade import partledger
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import newsschedule
from bulrushgrade_daemon import partsharing

LEARNED_ROUNDS = 1
"""Number of rounds of messages that carry news of a peer. An aggregator passes
them on; elsewhere they only repair losses."""

ALL_ROUNDS = 10
"""Number of rounds after which parts at several crashes are told again."""

MAX_PARTS = 64
"""Maximum number of parts at crashes in one message, about 1.5 kB."""


class PartExchange:
    """Selects the news to send, and takes in those of peers."""

    def __init__(self, *, timers: Any, sharing: partsharing.PartSharing):
        """Creates an exchange that has sent nothing.

        Args:
            timers: The timer service.
            sharing: What this host knows.
        """
        self._timers = timers
        self._sharing = sharing
        self._ledger = sharing.ledger
        # Endpoints that crashed with any prompt, and parts at crashes.
        self._sites: newsschedule.NewsSchedule[partblame.Incarnation] = (
            _make_schedule(tuple)
        )
        self._crashes: newsschedule.NewsSchedule[partledger.Key] = (
            _make_schedule(self._find_repeated)
        )
        self._sound: newsschedule.NewsSchedule[tuple[bytes, bytes]] = (
            _make_schedule(tuple)
        )
        self._batch: gatewaymessages.PartNews | None = None
        sharing.subscribe(
            on_site=lambda endpoint, is_own: self._sites.add(
                endpoint, _rounds(is_own)
            ),
            on_crash=lambda key, is_own: self._crashes.add(
                key, _rounds(is_own)
            ),
            on_sound=lambda part, runtime, is_own: self._sound.add(
                (part, runtime), _rounds(is_own)
            ),
        )

    def begin_round(self) -> None:
        """Selects what the messages of the next round carry."""
        crashes = self._encode(self._sites.next(), self._crashes.next())
        sound = self._sound.next()
        self._batch = None
        if crashes or sound:
            self._batch = gatewaymessages.PartNews(crashes=crashes, sound=sound)

    def next_news(self) -> gatewaymessages.PartNews | None:
        """Returns the news to send in this round, None if there are none."""
        return self._batch

    def merge(self, news: gatewaymessages.PartNews | None) -> None:
        """Takes in what a peer knows."""
        if news is None:
            return
        self._sharing.merge_sound(news.sound)
        now = self._timers.now
        self._sharing.merge_crashes(
            sites=[_decode_site(entry, now) for entry in news.crashes],
            crashes=[
                crash
                for entry in news.crashes
                for crash in _decode_parts(entry, now)
            ],
        )

    def _find_repeated(self) -> list[partledger.Key]:
        return [
            (part, crash.endpoint)
            for part in self._ledger.repeated()
            for crash in self._ledger.crashes(part)
        ]

    def _encode(
        self,
        endpoints: list[partblame.Incarnation],
        keys: list[partledger.Key],
    ) -> list[gatewaymessages.PartCrashNews]:
        """Returns the news of crashes, each with its parts."""
        now, found = self._timers.now, {}
        for endpoint in [*endpoints, *(endpoint for _, endpoint in keys)]:
            site = self._ledger.sites.get(endpoint)
            if site is not None and endpoint not in found:
                found[endpoint] = gatewaymessages.PartCrashNews(
                    endpoint=endpoint[0],
                    born_ms=endpoint[1],
                    zone=site.zone,
                    age_ms=_to_ms(now - site.crashed_at),
                    parts=[],
                )
        for part, endpoint in keys:
            crash = self._ledger.find_crash(part, endpoint)
            if crash is not None and endpoint in found:
                found[endpoint].parts.append(_encode_part(crash))
        return list(found.values())


def _make_schedule(find_all: Any) -> newsschedule.NewsSchedule[Any]:
    return newsschedule.NewsSchedule(
        find_all=find_all, all_rounds=ALL_ROUNDS, max_entries=MAX_PARTS
    )


def _encode_part(crash: partblame.PartCrash) -> gatewaymessages.PartAtCrash:
    return (
        crash.part,
        crash.runtime,
        crash.has_begun,
        _to_ms(crash.crashed_at - crash.first_at),
        _to_ms(crash.crashed_at - crash.last_at),
        list(crash.requests),
    )


def _decode_site(
    news: gatewaymessages.PartCrashNews, now: float
) -> tuple[partblame.Incarnation, partblame.CrashSite]:
    site = partblame.CrashSite(
        zone=news.zone, crashed_at=now - news.age_ms / 1000
    )
    return (news.endpoint, news.born_ms), site


def _decode_parts(
    news: gatewaymessages.PartCrashNews, now: float
) -> list[partblame.PartCrash]:
    endpoint, site = _decode_site(news, now)
    return [
        partblame.PartCrash(
            part=part,
            endpoint=endpoint,
            runtime=runtime,
            zone=site.zone,
            has_begun=has_begun,
            first_at=site.crashed_at - first_ms / 1000,
            last_at=site.crashed_at - last_ms / 1000,
            crashed_at=site.crashed_at,
            requests=frozenset(requests),
        )
        for part, runtime, has_begun, first_ms, last_ms, requests in news.parts
    ]


def _rounds(is_own: bool) -> int:
    return newsschedule.CHANGE_ROUNDS if is_own else LEARNED_ROUNDS


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))

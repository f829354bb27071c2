"""Emulates hosts that forward prompts to engines which some prompts crash.

Each host has a ledger of its own and learns of what others saw a little later.
Engines run several answers at once. A harmful part crashes an engine shortly
after it has begun an answer on it, with all answers that the engine runs;
engines also crash without any cause. Nothing here depends on the real time.
"""

import collections
import heapq
import itertools
import random

import attrs

from bulrushgrade import partblame
from bulrushgrade import partledger

SCOPE = "m"
RUNTIME = partledger.make_runtime(service="llm", software="v1")


@attrs.frozen(kw_only=True)
class Plan:
    """What happens in one emulated fleet.

    Attributes:
        hosts: Number of hosts.
        engines: Number of engines.
        zones: Number of availability zones of engines.
        sound_per_s: Sound requests a second.
        harmful_per_s: Harmful requests a second.
        harmful_parts: Number of harmful parts; each request has one of them.
        harmful_position: Place of the harmful part among the shared ones.
        first_parts: Number of parts that prompts begin with.
        callers: Number of callers, each with a second part of its own.
        sessions: Number of third parts of each caller; 0 for none.
        wait_s: Mean time until an engine begins an answer.
        run_s: Mean time of an answer.
        crash_after_s: Longest time from a harmful answer's begin to the crash.
        restart_s: Time until a crashed engine is replaced.
        attempts: Attempts of one request at a host.
        returns: How often a caller tries again.
        share_s: Longest time until a host knows what another one saw.
        plain_crashes: Times of crashes without a cause, with their share of
            engines and whether these are those of one zone.
        duration_s: How long requests come.
        harmful_from_s: When harmful requests begin to come.
    """

    hosts: int = 9
    engines: int = 9
    zones: int = 4
    sound_per_s: float = 60.0
    harmful_per_s: float = 2.0
    harmful_parts: int = 1
    harmful_position: int = 2
    first_parts: int = 2
    callers: int = 30
    sessions: int = 0
    wait_s: float = 0.05
    run_s: float = 0.25
    crash_after_s: float = 0.12
    restart_s: float = 3.0
    attempts: int = 2
    returns: int = 1
    share_s: float = 0.15
    plain_crashes: tuple[tuple[float, float, bool], ...] = ()
    duration_s: float = 40.0
    harmful_from_s: float = 5.0


@attrs.define(kw_only=True, eq=False)
class Request:
    """A request of a caller, over all of its attempts."""

    id: bytes
    parts: tuple[bytes, ...]
    harmful: bytes | None
    sent_at: float
    returns: int
    attempts: int = 0
    host: int = 0
    first_began: bool = False
    is_refused: bool = False
    is_retry: bool = False


@attrs.define(kw_only=True, eq=False)
class Run:
    """A request at an engine."""

    request: Request
    written_at: float
    began_at: float | None = None


@attrs.define(kw_only=True, eq=False)
class Engine:
    """One start of an engine."""

    id: str
    zone: str
    runs: list[Run] = attrs.field(factory=list)
    has_crashed: bool = False


@attrs.define(kw_only=True)
class Outcome:
    """What came of a plan.

    Attributes:
        crashes: Crashes caused by each harmful part.
        sends_later: Sends with it later than 3 s after its fifth crash.
        sound_refused: Sound requests refused for a quarantine.
        sound: Sound requests; of these, those after the harmful ones were to
            be held back, and of both those that began at the first attempt.
        false_blames: Blames of parts none of which is harmful.
        false_blame_s: How long the longest of them lasted.
    """

    crashes: collections.Counter = attrs.field(factory=collections.Counter)
    sends_later: collections.Counter = attrs.field(factory=collections.Counter)
    sound_refused: int = 0
    sound: int = 0
    before: list[bool] = attrs.field(factory=list)
    after: list[bool] = attrs.field(factory=list)
    false_blames: int = 0
    false_blame_s: float = 0.0


class PartFleet:
    """Plays a plan."""

    def __init__(self, *, plan, seed, may_retry=None):
        self._plan = plan
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._events = []
        self.now = 0.0
        self.ledgers = [partledger.PartLedger() for _ in range(plan.hosts)]
        self.outcome = Outcome()
        self._may_retry = may_retry or self._allows_retry
        self._fifth_at = {}
        self._last_crash_at = 0.0
        self._false_since = {}
        self._engines = []
        for number in range(plan.engines):
            self._start_engine(f"z{number % plan.zones}")
        self._harmful = [
            self._key(f"bad{n}") for n in range(plan.harmful_parts)
        ]

    def play(self):
        """Plays the plan and returns its outcome."""
        plan = self._plan
        self._at(0.0, self._send_sound)
        if plan.harmful_per_s:
            self._at(plan.harmful_from_s, self._send_harmful)
        for at, share, is_zone in plan.plain_crashes:
            self._at(at, self._crash_some, share, is_zone)
        while self._events:
            self.now, _, call, arguments = heapq.heappop(self._events)
            if self.now > plan.duration_s + 5.0:
                break
            call(*arguments)
        for since in self._false_since.values():
            self._end_false_blame(since)
        return self.outcome

    # Requests.

    def _send_sound(self):
        plan = self._plan
        self.outcome.sound += 1
        self._admit(self._make_request(None))
        if self.now < plan.duration_s:
            self._after(
                self._rng.expovariate(plan.sound_per_s), self._send_sound
            )

    def _send_harmful(self):
        plan = self._plan
        self._admit(self._make_request(self._rng.choice(self._harmful)))
        if self.now < plan.duration_s:
            self._after(
                self._rng.expovariate(plan.harmful_per_s), self._send_harmful
            )

    def _make_request(self, harmful):
        plan, rng = self._plan, self._rng
        # A few callers send most requests.
        caller = int(plan.callers * rng.random() ** 2)
        shared = [f"first{caller % plan.first_parts}", f"caller{caller}"]
        if plan.sessions:
            shared.append(f"session{caller}-{rng.randrange(plan.sessions)}")
        parts = [self._key(part) for part in shared]
        if harmful is not None:
            parts.insert(min(plan.harmful_position, len(parts)), harmful)
        return Request(
            id=next(self._numbers).to_bytes(4, "big"),
            parts=tuple(parts),
            harmful=harmful,
            sent_at=self.now,
            returns=plan.returns,
        )

    def _admit(self, request):
        request.host = self._rng.randrange(self._plan.hosts)
        request.attempts = 0
        ledger = self.ledgers[request.host]
        blame = ledger.find_blame(request.parts) if ledger.blames else None
        if blame is not None and not self._begin_trial(request, blame):
            ledger.note_refusal(blame, self.now)
            if request.harmful is None:
                self.outcome.sound_refused += 1
            self._end(request)
            return
        self._attempt(request)

    def _begin_trial(self, request, blame):
        # One host owns each quarantine.
        if request.host != min(blame.parts)[0] % self._plan.hosts:
            return False
        return self.ledgers[request.host].begin_trial(blame, self.now)

    def _attempt(self, request):
        live = [e for e in self._engines if not e.has_crashed]
        if not live:
            self._end(request)
            return
        request.attempts += 1
        if request.harmful is not None:
            fifth_at = self._fifth_at.get(request.harmful)
            if fifth_at is not None and self.now > fifth_at + 3.0:
                self.outcome.sends_later[request.harmful] += 1
        engine = min(
            self._rng.sample(live, min(2, len(live))),
            key=lambda engine: len(engine.runs),
        )
        run = Run(request=request, written_at=self.now)
        engine.runs.append(run)
        wait_s = self._rng.expovariate(1 / self._plan.wait_s)
        self._after(wait_s, self._begin, engine, run)

    def _begin(self, engine, run):
        if engine.has_crashed:
            return
        run.began_at = self.now
        request = run.request
        if request.attempts == 1 and not request.is_retry:
            request.first_began = True
        if request.harmful is not None:
            self._after(
                self._rng.uniform(0.0, self._plan.crash_after_s),
                self._crash,
                engine,
                request.harmful,
            )
            return
        run_s = self._rng.expovariate(1 / self._plan.run_s)
        self._after(run_s, self._complete, engine, run)

    def _complete(self, engine, run):
        if engine.has_crashed:
            return
        engine.runs.remove(run)
        request = run.request
        self._end(request)
        ledger = self.ledgers[request.host]
        if not len(ledger):
            return
        for part in request.parts:
            if ledger.observe_completion(part, RUNTIME, began_at=run.began_at):
                self._tell(request.host, self._learn_sound, part)
        self._observe_blames()

    def _end(self, request):
        if request.harmful is not None or request.is_refused:
            return
        request.is_refused = True
        outcome = self.outcome
        if request.sent_at < self._plan.harmful_from_s:
            outcome.before.append(request.first_began)
        elif self._last_crash_at and request.sent_at > (
            max(self._fifth_at.values(), default=self._last_crash_at) + 6.0
        ):
            outcome.after.append(request.first_began)

    # Crashes.

    def _start_engine(self, zone):
        engine = Engine(id=f"e{next(self._numbers)}", zone=zone)
        self._engines.append(engine)

    def _crash_some(self, share, is_zone):
        live = [e for e in self._engines if not e.has_crashed]
        if is_zone:
            zone = self._rng.choice(live).zone if live else None
            chosen = [e for e in live if e.zone == zone]
        else:
            chosen = self._rng.sample(live, round(share * len(live)))
        for engine in chosen:
            # Processes of one failure end within some milliseconds.
            self._after(self._rng.uniform(0, 0.02), self._crash, engine, None)

    def _crash(self, engine, harmful):
        if engine.has_crashed:
            return
        engine.has_crashed = True
        self._engines.remove(engine)
        self._after(self._plan.restart_s, self._start_engine, engine.zone)
        if harmful is not None:
            self._last_crash_at = self.now
            self.outcome.crashes[harmful] += 1
            if self.outcome.crashes[harmful] == 5:
                self._fifth_at[harmful] = self.now
        # Hosts notice the end of their connections, and check the endpoint.
        noticed_at, found = self.now + 0.002, collections.defaultdict(dict)
        for run in engine.runs:
            for part in run.request.parts:
                self._add(found[run.request.host], part, run, engine)
        for host, crashes in found.items():
            crashes = [
                attrs.evolve(crash, crashed_at=noticed_at)
                for crash in crashes.values()
            ]
            site = partblame.CrashSite(zone=engine.zone, crashed_at=noticed_at)
            self._after(0.03, self._observe_site, host, (engine.id, 0), site)
            self._after(0.03, self._observe_crashes, host, crashes)
        for run in engine.runs:
            self._after(0.035, self._interrupted, run)

    @staticmethod
    def _add(found, part, run, engine):
        began = run.began_at is not None
        crash = partblame.PartCrash(
            part=part,
            endpoint=(engine.id, 0),
            runtime=RUNTIME,
            zone=engine.zone,
            has_begun=began,
            first_at=run.began_at if began else run.written_at,
            last_at=run.began_at if began else run.written_at,
            crashed_at=0.0,
            requests=frozenset([run.request.id]),
        )
        known = found.get(part)
        found[part] = crash if known is None else known.merge(crash)

    def _observe_crashes(self, host, crashes):
        for crash in crashes:
            if self.ledgers[host].observe_crash(crash):
                self._tell(host, self._learn_crash, crash)
        self._observe_blames()

    def _observe_site(self, host, endpoint, site):
        if self.ledgers[host].observe_site(endpoint, site):
            self._tell(host, self._learn_site, (endpoint, site))

    def _interrupted(self, run):
        request = run.request
        if (
            request.attempts < self._plan.attempts
            and self._may_retry(request)
            and not self._is_quarantined(request)
        ):
            self._attempt(request)
            return
        if request.returns > 0:
            request.returns -= 1
            request.is_retry = True
            self._after(0.02, self._admit, request)
            return
        self._end(request)

    def _allows_retry(self, request):
        ledger = self.ledgers[request.host]
        return ledger.count_suspicions(request.parts) <= 1

    def _is_quarantined(self, request):
        ledger = self.ledgers[request.host]
        return ledger.find_blame(request.parts) is not None

    # What hosts tell each other.

    def _tell(self, sender, learn, news):
        for host in range(self._plan.hosts):
            if host != sender:
                delay_s = self._rng.uniform(0.002, self._plan.share_s)
                self._after(delay_s, learn, host, news)

    def _learn_sound(self, host, part):
        self.ledgers[host].add_sound(part, RUNTIME)

    def _learn_site(self, host, news):
        self.ledgers[host].observe_site(*news)

    def _learn_crash(self, host, crash):
        self.ledgers[host].observe_crash(crash)

    def _observe_blames(self):
        """Follows the blames of one host."""
        wrong = {
            blame.parts
            for blame in self.ledgers[0].blames
            if not blame.parts & set(self._harmful)
        }
        for parts in wrong - self._false_since.keys():
            self.outcome.false_blames += 1
            self._false_since[parts] = self.now
        for parts in self._false_since.keys() - wrong:
            self._end_false_blame(self._false_since.pop(parts))

    def _end_false_blame(self, since):
        lasted_s = self.now - since
        self.outcome.false_blame_s = max(self.outcome.false_blame_s, lasted_s)

    # Time.

    def _after(self, delay_s, call, *arguments):
        self._at(self.now + delay_s, call, *arguments)

    def _at(self, at, call, *arguments):
        heapq.heappush(self._events, (at, next(self._numbers), call, arguments))

    @staticmethod
    def _key(part):
        return partledger.make_part_key(scope=SCOPE, part=part)


def draw_plan(rng, **changes):
    """Draws a plan at random."""
    engines = changes.get("engines", rng.choice((4, 9, 9, 20)))
    load = rng.uniform(2.0, 15.0)
    plan = Plan(
        hosts=9,
        engines=engines,
        zones=rng.randint(1, 4),
        sound_per_s=load * engines,
        harmful_per_s=rng.uniform(0.5, 6.0),
        harmful_parts=rng.choice((1, 1, 2, 3)),
        harmful_position=rng.randint(0, 2),
        first_parts=rng.randint(1, 3),
        callers=rng.choice((5, 30, 300)),
        sessions=rng.choice((0, 0, 3)),
        wait_s=rng.uniform(0.01, 0.3),
        run_s=rng.uniform(0.1, 1.5),
        crash_after_s=rng.uniform(0.0, 0.3),
        restart_s=rng.uniform(1.0, 5.0),
        attempts=rng.randint(1, 3),
        returns=rng.randint(0, 2),
        share_s=rng.uniform(0.05, 0.3),
    )
    return attrs.evolve(plan, **changes)

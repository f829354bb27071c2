"""Which engine reads a prompt and which one generates the answer.

Load: many long prompts that begin with one of some hundred shared parts, and
many short ones, on a few engines whose memories together just hold all the
parts. Harm: where each daemon places by its own queue alone, every part ends
up on every engine, none keeps it, and reading it again takes more of the
engines than all other work. So each shared part has a home that all daemons
work out alike from the part's id and the engines' ids, without a message, and
work goes elsewhere only where waiting at home costs more than reading again.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

import attrs
import xxhash

from bulrushgrade import directory
from bulrushgrade import engineload
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing

HOME_TOKENS = 1000
"""Prompts whose shared parts have fewer tokens have no home: reading those
anywhere takes some milliseconds, less than a queue."""

PREFILL_HOME_WEIGHT = 2.0
"""Homes a prefill engine has for each of a decode engine; it reads twice as
fast."""

REREAD_WEIGHT = 1.0
"""What a second of reading costs others, beside the second that it costs the
request itself: it takes the place of someone else's prompt."""

HANDOVER_S = 0.02
"""The fixed time of a handover: two requests and the setting up of a
transfer."""

OTHER_ZONE_S = 0.01
"""What another availability zone counts as, in seconds of waiting: it takes
bytes between zones and a few milliseconds. It decides among equals only."""

OTHER_ZONE_TRANSFER = 2.0
"""A transfer between zones takes this many times as long."""


@attrs.frozen(kw_only=True)
class Plan:
    """Where a request goes.

    Attributes:
        decode: The engine that generates.
        prefill: The engine that reads the prompt for it, or None where the
            generating one reads it itself.
        read_tokens: How many tokens are expected to be read.
        read_s: How long that should take by itself.
        first_s: When the first event is expected, seconds from now.
    """

    decode: directory.Registration
    prefill: directory.Registration | None
    read_tokens: int
    read_s: float
    first_s: float


class EnginePlanner:
    """Plans requests for the engines of one service."""

    def __init__(self, *, zone: str):
        """Makes a planner that has seen no engine.

        Args:
            zone: The availability zone of this daemon.
        """
        self._zone = zone
        self._loads: dict[tuple[str, int], engineload.EngineLoad] = {}

    def load(
        self, engine: directory.Registration, traits: routing.EngineTraits
    ) -> engineload.EngineLoad:
        """Returns what is believed of an engine."""
        load = self._loads.get(engine.incarnation)
        if load is None:
            load = engineload.EngineLoad(memory_tokens=traits.memory_tokens)
            self._loads[engine.incarnation] = load
        return load

    def forget(self, live: Iterable[tuple[str, int]]) -> None:
        """Drops what is believed of engines that are gone and idle."""
        kept = set(live)
        for incarnation, load in list(self._loads.items()):
            if incarnation not in kept and not load.readings:
                del self._loads[incarnation]

    def plan(
        self,
        prompt: prompt_module.Prompt,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        *,
        now: float,
        may_hand_over: bool,
    ) -> Plan | None:
        """Returns the best plan, or None where no engine generates.

        Args:
            prompt: What is to be read.
            engines: Those that may be used.
            traits: What they have in common.
            now: The present time in seconds.
            may_hand_over: Whether one engine may read for another.
        """
        decoders = _generating(engines)
        if not decoders:
            return None
        home = find_home(prompt, engines)

        def cost(plan: Plan) -> float:
            away = sum(
                OTHER_ZONE_S
                for engine in (plan.decode, plan.prefill)
                if engine is not None and engine.zone != self._zone
            )
            return plan.first_s + REREAD_WEIGHT * plan.read_s + away

        plans = [
            self._read_at(prompt, engine, None, traits, home, now)
            for engine in decoders
        ]
        if may_hand_over and prompt.prompt_tokens >= HOME_TOKENS:
            receiver = self.receiver(prompt, decoders, traits, now=now)
            plans += [
                self._read_at(prompt, receiver, engine, traits, home, now)
                for engine in engines
                if engine.stage is directory.Stage.PREFILL
            ]
        return min(plans, key=cost)

    def receiver(
        self,
        prompt: prompt_module.Prompt,
        engines: list[directory.Registration],
        traits: routing.EngineTraits,
        *,
        now: float,
    ) -> directory.Registration | None:
        """Returns who generates what another engine reads or has read.

        The receiver keeps what it is handed, so the same part should go to
        the same one: on several it would push out what is at home there.
        """
        decoders = _generating(engines)
        if not decoders:
            return None
        ranked = rank(prompt, decoders, weigh=lambda engine: 1.0)

        def cost(place: int) -> float:
            waits_s = self.load(ranked[place], traits).wait_s(now)
            return waits_s + (HANDOVER_S if place else 0.0)

        return ranked[min(range(len(ranked)), key=cost)]

    def _read_at(
        self,
        prompt: prompt_module.Prompt,
        decode: directory.Registration,
        prefill: directory.Registration | None,
        traits: routing.EngineTraits,
        home: str | None,
        now: float,
    ) -> Plan:
        reader = prefill or decode
        load = self.load(reader, traits)
        cached = load.cached_tokens(prompt)
        if reader.id == home:
            cached = prompt.shared_tokens
        tokens = max(1, prompt.prompt_tokens - cached)
        read_s = tokens / load.tokens_per_s(reader.stage)
        first_s = load.wait_s(now) + read_s
        if prefill is not None:
            moved = prompt.prompt_tokens * traits.token_bytes
            transfer_s = moved / max(traits.link_bytes_per_s, 1.0)
            if prefill.zone != decode.zone:
                transfer_s *= OTHER_ZONE_TRANSFER
            first_s += HANDOVER_S + transfer_s
        return Plan(
            decode=decode,
            prefill=prefill,
            read_tokens=tokens,
            read_s=read_s,
            first_s=first_s,
        )


def find_home(
    prompt: prompt_module.Prompt, engines: list[directory.Registration]
) -> str | None:
    """Returns the id of the engine where a prompt's shared part lives."""
    if prompt.shared_tokens < HOME_TOKENS or not engines:
        return None
    return rank(prompt, engines, weigh=_home_weight)[0].id


def rank(
    prompt: prompt_module.Prompt,
    engines: list[directory.Registration],
    *,
    weigh: Callable[[directory.Registration], float],
) -> list[directory.Registration]:
    """Returns engines in an order that depends on ids and weights alone.

    Weighted rendezvous hashing: an engine that comes or goes moves only the
    parts that it gets or had.
    """
    key = prompt.parts[0].id if prompt.parts else ""

    def score(engine: directory.Registration) -> float:
        digest = xxhash.xxh3_64_intdigest(f"{key}/{engine.id}".encode())
        uniform = (digest + 1) / (2**64 + 1)
        return -weigh(engine) / math.log(uniform)

    return sorted(engines, key=score, reverse=True)


def _generating(
    engines: list[directory.Registration],
) -> list[directory.Registration]:
    return [e for e in engines if e.stage is not directory.Stage.PREFILL]


def _home_weight(engine: directory.Registration) -> float:
    if engine.stage is directory.Stage.PREFILL:
        return PREFILL_HOME_WEIGHT
    return 1.0

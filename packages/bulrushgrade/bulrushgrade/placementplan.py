"""What is to be placed, and where it goes."""

from collections.abc import Mapping

import attrs

from bulrushgrade import directory
from bulrushgrade import enginerank
from bulrushgrade import plancost
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing


@attrs.frozen(kw_only=True)
class PlanRequest:
    """A prompt that is to be placed, and all that does not depend on where.

    Attributes:
        prompt: What is to be read.
        engines: Those that may be used.
        traits: What they have in common.
        latency_targets: What the request and its service allow.
        now: The present time in seconds.
        urgency: The prompt's; 0 is read first.
        reported_wait_s: How long it would wait at engines, by id, where that is
            known from the owners of their queues.
    """

    prompt: prompt_module.Prompt
    engines: list[directory.Registration]
    traits: routing.EngineTraits
    latency_targets: plancost.LatencyTargets
    now: float
    urgency: int = 0
    reported_wait_s: Mapping[str, float] = attrs.field(factory=dict)

    @property
    def peak_tokens(self) -> int:
        """What its stream has in an engine's memory at most."""
        return self.prompt.prompt_tokens + self.prompt.output_tokens

    @property
    def is_long(self) -> bool:
        """Whether its shared parts are worth keeping in one place."""
        return self.prompt.shared_tokens >= self.traits.long_tokens

    def rank(self) -> enginerank.RankedEngines:
        """Returns the engines in the prompt's order."""
        return enginerank.rank_by_role(self.prompt, self.engines, self.traits)


@attrs.frozen(kw_only=True)
class Plan:
    """Where a request goes.

    Attributes:
        decode: The engine that generates.
        prefill: The engine that reads the prompt for it, or None where the
            generating one reads it itself.
        fetch_from: Who has the shared parts that the reading engine lacks,
            or None where it has them or has to read them.
        relative_size: The whole prompt's tokens against the mean.
        wait_s: How long it is expected to wait before that.
        read_tokens: How many tokens are expected to be read.
        prefill_s: How long that should take by itself.
        busy_s: How long it keeps the reading engine from the next prompt:
            reading it and fetching what it lacks.
        transfer_s: How long KV cache is moved between engines for it.
        latency_s: From the end of the reading to its answer.
        handover_s: From then to the first event, without the move itself,
            where another engine generates.
        first_event_s: When the first event is expected, seconds from now.
        delay_s: How much longer recent readings took than expected.
        late_answers: How many answers are expected to become late by it, the
            request's own and others'.
    """

    decode: directory.Registration
    prefill: directory.Registration | None
    fetch_from: directory.Registration | None
    relative_size: float
    wait_s: float
    read_tokens: int
    prefill_s: float
    busy_s: float
    transfer_s: float
    latency_s: float
    handover_s: float
    first_event_s: float
    delay_s: float = 0.0
    late_answers: float = 0.0

    @property
    def prefiller(self) -> directory.Registration:
        """The engine that reads the prompt."""
        return self.prefill or self.decode

"""Input and result of the planner of engine requests."""

from collections.abc import Mapping

import attrs

from bulrushgrade import directory
from bulrushgrade import enginerank
from bulrushgrade import plancost
from bulrushgrade import prompt as prompt_module
from bulrushgrade import routing


@attrs.frozen(kw_only=True)
class PlanRequest:
    """A prompt to be placed, with all inputs that don't depend on the engine.

    Attributes:
        prompt: The prompt.
        engines: The engines that may be used.
        traits: The common properties of the engines.
        latency_targets: The targets of the request and its service.
        now: The present time in seconds.
        urgency: The prompt's urgency; 0 is the most urgent.
        reported_wait_s: Wait at engines by engine id, as reported by the
            daemons that own their queues.
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
        """Maximum number of tokens that its stream occupies in memory."""
        return self.prompt.prompt_tokens + self.prompt.output_tokens

    @property
    def is_long(self) -> bool:
        """Whether its shared parts are long enough to keep on one engine."""
        return self.prompt.shared_tokens >= self.traits.long_tokens

    def rank(self) -> enginerank.RankedEngines:
        """Returns the engines in the rendezvous order of the prompt."""
        return enginerank.rank_by_role(self.prompt, self.engines, self.traits)


@attrs.frozen(kw_only=True)
class Plan:
    """Placement of a request and its expected times.

    Attributes:
        decode: The engine that generates the answer.
        prefill: The engine that prefills the prompt for it, or None if the
            decode engine does both.
        fetch_from: The engine from which shared parts are fetched that the
            prefilling engine lacks, or None.
        relative_size: The prompt's tokens relative to the mean of long prompts.
        wait_s: Expected wait before the prefill.
        read_tokens: Expected number of tokens to prefill.
        prefill_s: Expected duration of the prefill alone.
        busy_s: Expected time for which the prefilling engine is occupied: the
            prefill and the fetch of missing parts.
        transfer_s: Expected time of KV cache transfers between engines.
        latency_s: Time from the end of the prefill to the response.
        handover_s: Time from then to the first event if another engine decodes,
            without the transfer itself.
        first_event_s: Expected time until the first event, from now.
        delay_s: Mean excess of recent prefill times over the expected ones.
        late_answers: Expected number of answers that become late, the request's
            own included.
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
        """The engine that prefills the prompt."""
        return self.prefill or self.decode

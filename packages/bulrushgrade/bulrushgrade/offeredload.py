"""Counts the demand on one host, for the role plan."""

from bulrushgrade import cost
from bulrushgrade import lane
from bulrushgrade import work


class OfferedLoad:
    """Counts demand by model since the host's start."""

    def __init__(self):
        self._counts: dict[str, list[float]] = {}

    def add_request(
        self, item: work.Work, uncached_tokens: float, model: cost.CostModel
    ) -> None:
        """Counts a new request; a plain service's is no demand on engines.

        Args:
            item: The request.
            uncached_tokens: Expected prompt tokens to prefill.
            model: Cost model, for the duration of the answer's KV cache.
        """
        if not item.model:
            return
        counts = self._counts.setdefault(item.model, [0.0] * 4)
        counts[0] += uncached_tokens
        counts[1] += item.output_tokens
        counts[2] += model.kv_token_s(item)

    def correct_prefill(self, item: work.Work, more_tokens: float) -> None:
        """Adds the difference of prefilled and expected tokens."""
        if item.model in self._counts:
            self._counts[item.model][0] += more_tokens

    def add_refused(self, item: lane.QueuedWork) -> None:
        """Counts a request that was refused because of load."""
        if item.work.model in self._counts:
            self._counts[item.work.model][3] += item.engine_s

    def demands(self) -> tuple[work.Demand, ...]:
        """Returns the counts so far."""
        return tuple(
            work.Demand(
                model=model,
                prefill_tokens=round(prefilled),
                output_tokens=round(decoded),
                kv_token_s=round(held),
                lost_s=lost,
            )
            for model, (prefilled, decoded, held, lost) in self._counts.items()
        )

"""Counters, gauges and latency histograms of one daemon.

Services hold a metric object for each time series and change plain numbers in
it. The values are copied into an aioprometheus registry when the metrics are
rendered. Changing a series in the registry itself takes some 3 us each time, as
it encodes the labels again, and a streamed answer changes several series per
token.
"""

import bisect
from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Any

import aioprometheus
from aioprometheus import histogram
import attrs

from bulrushgrade import errors

PREFIX = "bulrushgrade_"

# Upper bounds in seconds. Tokens follow each other within tens of milliseconds,
# a short chat takes some seconds, and a long prefill up to minutes.
LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    180.0,
    600.0,
)


@attrs.define(kw_only=True)
class Counter:
    """A number that only increases.

    Attributes:
        value: The current value.
    """

    value: int = 0

    def add(self, amount: int = 1) -> None:
        """Increases the value."""
        self.value += amount


@attrs.define(kw_only=True)
class Gauge:
    """A number that can increase and decrease.

    Attributes:
        value: The current value, unless `read` is set.
        read: Returns the current value; called when metrics are rendered.
    """

    value: float = 0.0
    read: Callable[[], float] | None = None

    def get(self) -> float:
        """Returns the current value."""
        return self.value if self.read is None else self.read()


@attrs.define(kw_only=True)
class Histogram:
    """Counts of observations by bucket.

    Attributes:
        counts: Observations per bucket; the last one is for all values above
            the largest bound.
        total: The sum of the observations.
    """

    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )
    total: float = 0.0

    def observe(self, value_s: float) -> None:
        """Adds an observation in seconds."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, value_s)] += 1
        self.total += value_s


_Labels = tuple[tuple[str, str], ...]


@attrs.define(kw_only=True)
class _Family:
    """All time series of one metric name."""

    collector: Any
    metric_type: type
    metrics: dict[_Labels, Any] = attrs.field(factory=dict)


class Metrics:
    """Creates, renders and dumps the metrics of all services."""

    name = "metrics"
    requires: tuple[str, ...] = ()

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._families: dict[str, _Family] = {}
        self._counts: list[tuple[str, str, Callable]] = []

    async def start(self) -> None:
        """Does nothing; there is nothing to open."""

    async def stop(self) -> None:
        """Does nothing; there is nothing to close."""

    def receive(self, message: Any) -> None:
        """Raises an error: metrics are shared objects, not sent as messages."""
        raise errors.BrokenInvariantError(
            f"metrics got a {type(message).__name__}"
        )

    def counter(
        self, name: str, doc: str, labels: Mapping[str, str] | None = None
    ) -> Counter:
        """Returns the counter for a name and labels, always the same object.

        Args:
            name: The name without prefix; ends in ``_total``.
            doc: The help text: what it counts.
            labels: Label values by label name. A label should have few
                values, as each combination is a time series.
        """
        _check_suffix(name, ("_total",))
        return self._find(name, doc, labels, aioprometheus.Counter, Counter)

    def gauge(
        self,
        name: str,
        doc: str,
        labels: Mapping[str, str] | None = None,
        read: Callable[[], float] | None = None,
    ) -> Gauge:
        """Returns the gauge for a name and labels, always the same object.

        Args:
            name: The name without prefix, with its unit if it has one.
            doc: The help text: what it shows.
            labels: Label values by label name.
            read: Returns the current value; if None, the owner sets it.
        """
        gauge = self._find(name, doc, labels, aioprometheus.Gauge, Gauge)
        if read is not None:
            gauge.read = read
        return gauge

    def histogram(
        self, name: str, doc: str, labels: Mapping[str, str] | None = None
    ) -> Histogram:
        """Returns the latency histogram for a name and labels.

        Args:
            name: The name without prefix; ends in ``_seconds``.
            doc: The help text: what it measures.
            labels: Label values by label name.
        """
        _check_suffix(name, ("_seconds",))
        return self._find(name, doc, labels, aioprometheus.Histogram, Histogram)

    def observe_answer(self, kind: str, took_s: float) -> None:
        """Records the time from a request's arrival to the whole answer.

        Args:
            kind: The kind of the request's route.
            took_s: The time.
        """
        self.histogram(
            "whole_answer_seconds",
            "From arrival to the whole answer.",
            {"kind": kind},
        ).observe(took_s)

    def register_counts(
        self, name: str, doc: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Exports the counts that a service keeps itself as one metric.

        Args:
            name: The name without prefix; ends in ``_total``.
            doc: The help text: what they count.
            read: Returns the counts by name; the names become values of the
                label ``what``.
        """
        _check_suffix(name, ("_total",))
        self._counts.append((name, doc, read))

    def render(self) -> bytes:
        """Returns all time series in the Prometheus text format."""
        for name, doc, read in self._counts:
            for what, value in read().items():
                self.counter(name, doc, {"what": what}).value = value
        for family in self._families.values():
            for labels, metric in family.metrics.items():
                family.collector.set_value(dict(labels), _export(metric))
        content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content

    def dump(self) -> dict[str, Any]:
        """Returns the values of all time series, serializable as JSON."""
        return {
            _format_series(name, labels): _summarize(metric)
            for name, family in self._families.items()
            for labels, metric in family.metrics.items()
        }

    def _find(
        self,
        name: str,
        doc: str,
        labels: Mapping[str, str] | None,
        collector_type: type,
        metric_type: type,
    ) -> Any:
        family = self._families.get(name)
        if family is None:
            collector = collector_type(
                PREFIX + name, doc, registry=self._registry
            )
            family = _Family(collector=collector, metric_type=metric_type)
            self._families[name] = family
        if family.metric_type is not metric_type:
            raise errors.BrokenInvariantError(
                f"metric {name} is registered with two types"
            )
        key = tuple(sorted((labels or {}).items()))
        if key not in family.metrics:
            family.metrics[key] = metric_type()
        return family.metrics[key]


def _check_suffix(name: str, suffixes: tuple[str, ...]) -> None:
    if not name.endswith(suffixes):
        raise errors.BrokenInvariantError(
            f"metric name {name} lacks its unit suffix"
        )


def _export(metric: Any) -> Any:
    if isinstance(metric, Counter):
        return metric.value
    if isinstance(metric, Gauge):
        return metric.get()
    exported = histogram.Histogram(*LATENCY_BUCKETS_S, math.inf)
    below = 0
    for bound, count in zip(exported.buckets, metric.counts, strict=True):
        below += count
        exported.buckets[bound] = below
    exported.observations = below
    exported.sum = metric.total
    return exported


def _summarize(metric: Any) -> Any:
    if isinstance(metric, Histogram):
        count = sum(metric.counts)
        mean_s = metric.total / count if count else None
        return {"count": count, "mean_s": mean_s}
    return metric.get() if isinstance(metric, Gauge) else metric.value


def _format_series(name: str, labels: _Labels) -> str:
    if not labels:
        return name
    return name + "{" + ",".join(f"{k}={v}" for k, v in labels) + "}"

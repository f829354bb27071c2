"""Counters, gauges and latency histograms of one daemon.

Services hold a metric for each time series and change plain numbers in it; the
metrics are copied into an aioprometheus registry when somebody asks. Changing
a series inside the registry costs some 3 us a time, as it encodes the labels
anew, and a streamed answer touches several series for each token.
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

# Seconds. A token follows another within tens of milliseconds, a short chat
# takes some seconds and a long reading up to minutes.
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
    """A number that only goes up.

    Attributes:
        value: The number.
    """

    value: int = 0

    def add(self, amount: int = 1) -> None:
        """Raises the number."""
        self.value += amount


@attrs.define(kw_only=True)
class Gauge:
    """A number that goes up and down.

    Attributes:
        value: The number, where no function gives it.
        read: Returns the number, asked when metrics are rendered.
    """

    value: float = 0.0
    read: Callable[[], float] | None = None

    def get(self) -> float:
        """Returns the present number."""
        return self.value if self.read is None else self.read()


@attrs.define(kw_only=True)
class Histogram:
    """Observations counted by bucket.

    Attributes:
        counts: Observations a bucket, the last one for all beyond the bounds.
        total: The sum of the observations.
    """

    counts: list[int] = attrs.field(
        factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1)
    )
    total: float = 0.0

    def observe(self, value_s: float) -> None:
        """Counts an observation in seconds."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS_S, value_s)] += 1
        self.total += value_s


_Labels = tuple[tuple[str, str], ...]


@attrs.define(kw_only=True)
class _Family:
    """The series of one name."""

    collector: Any
    metric_type: type
    metrics: dict[_Labels, Any] = attrs.field(factory=dict)


class Metrics:
    """The service that other services take their metrics from by name."""

    name = "metrics"
    requires: tuple[str, ...] = ()

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._families: dict[str, _Family] = {}
        self._counts: list[tuple[str, str, Callable]] = []

    async def start(self) -> None:
        """Opens nothing."""

    async def stop(self) -> None:
        """Closes nothing."""

    def receive(self, message: Any) -> None:
        """Takes no messages; metrics are shared objects."""
        raise errors.BrokenInvariantError(
            f"metrics got a {type(message).__name__}"
        )

    def counter(
        self, name: str, doc: str, labels: Mapping[str, str] | None = None
    ) -> Counter:
        """Returns the counter of a name and labels; the same one each time.

        Args:
            name: Without prefix; ends in ``_total``.
            doc: What it counts, for a person.
            labels: Label values by label name; few values a label, since
                each combination is a series.
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
        """Returns the gauge of a name and labels; the same one each time.

        Args:
            name: Without prefix, with its unit unless it is a plain number.
            doc: What it shows, for a person.
            labels: Label values by label name.
            read: Gives the value when asked; without it the owner sets it.
        """
        gauge = self._find(name, doc, labels, aioprometheus.Gauge, Gauge)
        if read is not None:
            gauge.read = read
        return gauge

    def histogram(
        self, name: str, doc: str, labels: Mapping[str, str] | None = None
    ) -> Histogram:
        """Returns the latency histogram of a name and labels.

        Args:
            name: Without prefix; ends in ``_seconds``.
            doc: What it measures, for a person.
            labels: Label values by label name.
        """
        _check_suffix(name, ("_seconds",))
        return self._find(name, doc, labels, aioprometheus.Histogram, Histogram)

    def register_counts(
        self, name: str, doc: str, read: Callable[[], Mapping[str, int]]
    ) -> None:
        """Shows counts that a service keeps by itself as one family.

        Args:
            name: Without prefix; ends in ``_total``.
            doc: What they count, for a person.
            read: Returns the counts; their names become the label ``what``.
        """
        _check_suffix(name, ("_total",))
        self._counts.append((name, doc, read))

    def render(self) -> bytes:
        """Returns all series in the text format of Prometheus."""
        for name, doc, read in self._counts:
            for what, value in read().items():
                self.counter(name, doc, {"what": what}).value = value
        for family in self._families.values():
            for labels, metric in family.metrics.items():
                family.collector.set_value(dict(labels), _export(metric))
        content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content

    def dump(self) -> dict[str, Any]:
        """Returns counters and gauges by series, ready for JSON."""
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
            raise errors.BrokenInvariantError(f"{name} has two types")
        key = tuple(sorted((labels or {}).items()))
        if key not in family.metrics:
            family.metrics[key] = metric_type()
        return family.metrics[key]


def _check_suffix(name: str, suffixes: tuple[str, ...]) -> None:
    if not name.endswith(suffixes):
        raise errors.BrokenInvariantError(f"{name} does not name its unit")


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

"""Ejects slow or failing endpoints from placement, and probes them.

An endpoint may answer several times slower than its cohort, or fail, while its
load report looks idle. As it looks idle it would attract ever more work, most
of all when it fails fast, and a part of all callers would see late or failed
requests.
"""

import attrs

MIN_SAMPLES = 6
"""Answers before an endpoint can be ejected as slow; a single slow answer is
not enough."""

SLOW_FACTOR = 2.5
"""Factor over its cohort's median ratio above which an endpoint counts as slow.
Below it, placement gives a slow endpoint less work by its learned speed, which
is enough."""

CONSECUTIVE_FAILURES = 3
"""Number of consecutive failures that ejects an endpoint."""

BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 40.0
"""Duration of an ejection. It doubles with each failed probe, so that a dead
endpoint costs few requests, up to a maximum, so that a recovered one returns.
"""

MAX_SLOW_FRACTION = 1 / 3
"""Largest fraction of the cohort that is ejected for slowness. If more are
slow, the cause is probably common (a bad model version, a slow network), and
ejection would move all load onto a few endpoints that are no better."""

MAX_FAILED_FRACTION = 1 / 2
"""Largest fraction that is ejected when one fails. A dead engine does no work,
so ejecting it costs nothing; but if more than half fail, it is probably this
host that is disconnected, and it had better keep trying all of them."""


@attrs.define(kw_only=True)
class Health:
    """Statistics of one endpoint's answers, and its ejection.

    Attributes:
        ratio: Mean ratio of observed to predicted time.
        samples: Answers since the start or the last ejection.
        failures: Consecutive failures.
        ejected_until: Time of the next probe; None if it is not ejected.
        probing: Whether a probe is in progress.
    """

    ratio: float = 1.0
    samples: int = 0
    failures: int = 0
    ejected_until: float | None = None
    probing: bool = False
    _ejection_s: float = BASE_EJECTION_S

    def usable(self, now: float) -> bool:
        """Returns whether the endpoint may get a request now.

        An ejected endpoint gets one request at a time after its ejection time,
        so that a probe puts only one caller at risk.
        """
        return self.ejected_until is None or now >= self.ejected_until

    def start_probe(self, now: float) -> None:
        """Notes that an ejected endpoint gets a request as a probe.

        If the caller disconnects, the probe has no result. Another one is
        allowed after the maximum ejection time, so that the endpoint is not
        lost for good.
        """
        self.ejected_until = now + MAX_EJECTION_S
        self.probing = True

    def observe(self, ratio: float) -> None:
        """Adds an answer's ratio of observed to predicted time."""
        weight = max(0.1, 1.0 / (self.samples + 1.0))
        self.samples += 1
        self.failures = 0
        self.ratio += weight * (min(ratio, 20.0) - self.ratio)

    def record_failure(self) -> None:
        """Adds a failure."""
        self.failures += 1

    def eject(self, now: float) -> None:
        """Ejects the endpoint."""
        self.ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 2.0)
        self.probing = False
        # The next probe has to count alone: with the samples from before the
        # ejection a recovered endpoint would need many probes to return.
        self.samples = 0

    def restore(self) -> None:
        """Ends the ejection and resets the statistics."""
        self.ejected_until = None
        self.probing = False
        self.ratio = 1.0
        self.samples = 0
        self._ejection_s = BASE_EJECTION_S


def update(health: Health, cohort: list[Health], now: float) -> bool:
    """Ejects or restores an endpoint after an observation.

    Args:
        health: Health of the endpoint; it is changed.
        cohort: Health of all endpoints with the same work, this one included.
        now: The current time.

    Returns:
        Whether the endpoint is ejected afterwards.
    """
    median = _median_ratio(cohort, health)
    failing = health.failures >= CONSECUTIVE_FAILURES
    slow = health.samples >= MIN_SAMPLES and (
        health.ratio > SLOW_FACTOR * median
    )
    if health.ejected_until is not None:
        if health.probing:
            _evaluate_probe(health, median, now)
        return health.ejected_until is not None
    if failing or slow:
        max_fraction = MAX_FAILED_FRACTION if failing else MAX_SLOW_FRACTION
        ejected = sum(f.ejected_until is not None for f in cohort)
        if ejected + 1 <= int(max_fraction * len(cohort) + 1e-9):
            health.eject(now)
    return health.ejected_until is not None


def _evaluate_probe(health: Health, median: float, now: float) -> None:
    slow = health.ratio > SLOW_FACTOR * median
    if health.failures or slow:
        health.eject(now)
    else:
        health.restore()


def _median_ratio(cohort: list[Health], health: Health) -> float:
    ratios = sorted(
        f.ratio for f in cohort if f is not health and f.samples >= 2
    )
    return max(ratios[len(ratios) // 2], 1.0) if ratios else 1.0

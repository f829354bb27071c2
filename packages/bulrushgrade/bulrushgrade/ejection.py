"""Taking slow or failing endpoints out of placement, and probing them back.

Load: one endpoint answers several times slower than its fellows, or fails,
while its load report looks idle. Harm: what looks idle draws ever more work
(the fast failure even more so), and callers see one request in a few late.
"""

import attrs

MIN_SAMPLES = 6
"""Answers before an endpoint is judged: one slow answer is no pattern."""

SLOW_FACTOR = 2.5
"""Times its fellows' median; below it placement's own prediction, which
knows each endpoint's speed, gives it less work, and that is enough."""

CONSECUTIVE_FAILURES = 3
"""Failures in a row; a dead endpoint gives nothing else."""

BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 40.0
"""How long an endpoint stays out: doubled on each failed probe, so that a
dead one costs one request a while; bounded, so that a mended one returns."""

MAX_SLOW_FRACTION = 1 / 3
"""Part of the fellows that may be out for slowness. Past it the cause is more
likely common (a bad model version, a slow network), and ejecting would move
the load of all onto a few that are no better."""

MAX_FAILED_FRACTION = 1 / 2
"""Part that may be out once one fails: a dead engine does no work, so that
leaving it out costs nothing, but where more than half fail it is this host
that is cut off, and it had better go on trying them all."""


@attrs.define(kw_only=True)
class Health:
    """What is known of one endpoint's answers.

    Attributes:
        ratio: Mean of observed to predicted time, 1 is as predicted.
        samples: Answers since it was last put back.
        failures: Failures in a row.
        ejected_until: When it may be probed; None while it is in.
        probing: Whether a probe is under way.
    """

    ratio: float = 1.0
    samples: int = 0
    failures: int = 0
    ejected_until: float | None = None
    probing: bool = False
    _ejection_s: float = BASE_EJECTION_S

    def usable(self, now: float) -> bool:
        """Returns whether the endpoint may get a request now.

        An ejected endpoint gets one request at a time once its stay is over,
        so that a probe risks one caller and not a burst of them.
        """
        return self.ejected_until is None or now >= self.ejected_until

    def start_probe(self, now: float) -> None:
        """Notes that an ejected endpoint gets a request.

        A probe whose caller goes away is never judged; another may follow
        after the longest stay, so that the endpoint is not lost for good.
        """
        self.ejected_until = now + MAX_EJECTION_S
        self.probing = True

    def observe(self, ratio: float) -> None:
        """Takes in an answer's observed to predicted time."""
        weight = max(0.1, 1.0 / (self.samples + 1.0))
        self.samples += 1
        self.failures = 0
        self.ratio += weight * (min(ratio, 20.0) - self.ratio)

    def record_failure(self) -> None:
        """Takes in a failure."""
        self.failures += 1

    def eject(self, now: float) -> None:
        """Takes the endpoint out."""
        self.ejected_until = now + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, self._ejection_s * 2.0)
        self.probing = False
        # The next probe is judged by itself, not by the memory of the time
        # before: else a mended endpoint would need many probes to return.
        self.samples = 0

    def restore(self) -> None:
        """Puts the endpoint back as if it were new."""
        self.ejected_until = None
        self.probing = False
        self.ratio = 1.0
        self.samples = 0
        self._ejection_s = BASE_EJECTION_S


def update(health: Health, cohort: list[Health], now: float) -> bool:
    """Ejects or restores one endpoint after an observation of it.

    Args:
        health: The endpoint's; it is changed.
        cohort: Those that do the same work, itself among them.
        now: The present time.

    Returns:
        Whether it is out afterwards.
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

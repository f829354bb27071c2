"""What one host measured of the speeds of engines.

Samples are ratios of measured to expected values. They are summed as
logarithms, so that an engine of half and one of twice the usual speed are
equally far from the usual one, and sums of several hosts can be added.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import hashlib
import math

from bulrushgrade import linearfit
from bulrushgrade import peersums

SPEED_DECAY_S = 10.0
"""Time constant with which samples decay: an engine that is slow for one second
isn't taken for a slow one, one that became slow is detected in six."""

MIN_SENT_SAMPLES = 0.05
"""Weight below which a host drops its samples of an engine: 30 seconds after a
single one. It must be small, as hundreds of hosts may each have few samples."""

MIN_OFFSET_SAMPLES = 8.0
"""Weight of own samples from which the fitted prefill times are corrected."""

KEY_BYTES = 5
"""Length of the digest that identifies an engine in messages. Among 1,800
engines, two share one with a probability of 1.5e-6; an id and a start time take
more than twice the space."""

Incarnation = tuple[str, int]
"""An engine's id and start time. A restarted engine has no samples."""


class Kind(enum.IntEnum):
    """What was measured; also half the index in the vectors of sums."""

    PREFILL = 0
    PAUSE = 1


WIDTH = 2 * len(Kind)
"""Values of a vector: the weight and the sum of the logarithms of each kind."""


def make_key(incarnation: Incarnation) -> str:
    """Returns what identifies an engine in messages, ten characters."""
    text = f"{incarnation[0]}/{incarnation[1]}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).hexdigest()


class OwnSpeeds:
    """Decayed sums of the samples that this host measured."""

    def __init__(self):
        self._sums: dict[Incarnation, list[float]] = {}
        self._keys: dict[Incarnation, str] = {}
        self._decayed_at: float | None = None

    def observe(
        self,
        incarnation: Incarnation,
        kind: Kind,
        *,
        expected: float,
        observed: float,
    ) -> None:
        """Adds a sample; it counts as made at the next call of `decay`.

        Args:
            incarnation: The engine.
            kind: What was measured.
            expected: The value that is expected of an average engine.
            observed: The measured value.
        """
        if expected <= 0.0:
            return
        ratio = observed / expected
        ratio = min(max(ratio, linearfit.MIN_FACTOR), linearfit.MAX_FACTOR)
        sums = self._sums.get(incarnation)
        if sums is None:
            sums = self._sums[incarnation] = [0.0] * WIDTH
            self._keys[incarnation] = make_key(incarnation)
        sums[2 * kind] += 1.0
        sums[2 * kind + 1] += math.log(ratio)

    def decay(self, now: float) -> None:
        """Decays all samples to the present time in seconds."""
        elapsed_s = now - (
            now if self._decayed_at is None else self._decayed_at
        )
        factor = math.exp(-max(0.0, elapsed_s) / SPEED_DECAY_S)
        self._decayed_at = now
        for incarnation, sums in list(self._sums.items()):
            sums[:] = [factor * value for value in sums]
            if max(sums[0], sums[2]) < MIN_SENT_SAMPLES:
                del self._sums[incarnation], self._keys[incarnation]

    def vectors(self) -> dict[str, peersums.Vector]:
        """Returns the sums by the engine's key."""
        return {
            self._keys[incarnation]: tuple(sums)
            for incarnation, sums in self._sums.items()
        }

    def mean_offset(
        self, kind: Kind, factors: Mapping[Incarnation, float]
    ) -> float | None:
        """Returns the mean logarithm of the samples beyond engines' factors.

        It is the error of the expected values of an average engine; None with
        too few samples.

        Args:
            kind: The kind of samples.
            factors: The factors of a service's engines.
        """
        weight = excess = 0.0
        for incarnation, factor in factors.items():
            sums = self._sums.get(incarnation)
            if sums is not None:
                weight += sums[2 * kind]
                excess += sums[2 * kind + 1]
                excess -= sums[2 * kind] * math.log(factor)
        return excess / weight if weight >= MIN_OFFSET_SAMPLES else None

    def shift(
        self, kind: Kind, incarnations: Iterable[Incarnation], offset: float
    ) -> None:
        """Adapts samples to expected values that were multiplied.

        Args:
            kind: The kind of samples.
            incarnations: The engines.
            offset: Logarithm of the factor.
        """
        for incarnation in incarnations:
            sums = self._sums.get(incarnation)
            if sums is not None:
                sums[2 * kind + 1] -= offset * sums[2 * kind]

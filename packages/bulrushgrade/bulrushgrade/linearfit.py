"""Straight lines through what was observed, and how single engines differ.

The engines of a service are alike but for their speed. What they have in
common is fitted to the observations at all of them, so that it is known after
some seconds; each engine then needs a factor only.
"""

MIN_FACTOR, MAX_FACTOR = 0.3, 8.0
"""Bounds of a factor. An engine that turned slow takes a few times as long;
without a bound one odd observation could bar an engine for good."""


class LinearFit:
    """A line that rises or is level, fitted with forgetting."""

    def __init__(
        self,
        *,
        retention: float,
        min_stddev: float,
        start: float | None = None,
        start_weight: float = 1.0,
    ):
        """Makes a fit.

        Args:
            retention: What is kept of the weight of earlier observations at
                each new one.
            min_stddev: Standard deviation of x from which on the slope is
                fitted; below it the line is level.
            start: Value to begin with, or None.
            start_weight: Its weight.
        """
        self._retention = retention
        self._min_stddev = min_stddev
        self._weight = 0.0
        self._x = self._y = self._xx = self._xy = 0.0
        if start is not None:
            self._weight = start_weight
            self._y = start_weight * start

    @property
    def is_known(self) -> bool:
        """Whether there is a value."""
        return self._weight > 0.0

    def predict(self, x: float) -> float:
        """Returns the value at x; 0 where nothing is known."""
        if not self.is_known:
            return 0.0
        mean_x = self._x / self._weight
        mean_y = self._y / self._weight
        return max(0.0, mean_y + self._slope() * (x - mean_x))

    def observe(
        self,
        x: float,
        y: float,
        *,
        weight: float = 1.0,
        sample_count: float = 1.0,
    ) -> None:
        """Takes in an observation.

        Args:
            x: Where it was made.
            y: What was seen.
            weight: Its weight.
            sample_count: As how many observations it replaces earlier ones.
        """
        retention = self._retention**sample_count
        self._weight = retention * self._weight + weight
        self._x = retention * self._x + weight * x
        self._y = retention * self._y + weight * y
        self._xx = retention * self._xx + weight * x * x
        self._xy = retention * self._xy + weight * x * y

    def _slope(self) -> float:
        mean_x = self._x / self._weight
        variance = self._xx / self._weight - mean_x**2
        if variance < self._min_stddev**2:
            return 0.0
        mean_y = self._y / self._weight
        covariance = self._xy / self._weight - mean_x * mean_y
        # Steeper than through the origin would be below zero there.
        steepest = mean_y / max(mean_x, 1e-9)
        return min(max(covariance / variance, 0.0), steepest)


class Factor:
    """Observed to expected value at one engine."""

    def __init__(self, *, rise: float, fall: float):
        """Makes the factor of an engine like the others.

        Args:
            rise: Weight of an observation above the value.
            fall: Weight of one below.
        """
        self._rise, self._fall = rise, fall
        self._value = 1.0

    @property
    def value(self) -> float:
        """1 for an engine like the others."""
        return self._value

    def observe(self, expected: float, observed: float) -> None:
        """Takes in an observation and what an engine like the others does."""
        if expected <= 0.0:
            return
        ratio = min(max(observed / expected, MIN_FACTOR), MAX_FACTOR)
        weight = self._rise if ratio > self._value else self._fall
        self._value += weight * (ratio - self._value)

"""Linear fits with exponential forgetting, and deviations of single engines.

The engines of a service differ only in their speed. A common line is fitted to
the observations at all of them, so that it is known after some seconds, and
each engine only needs a factor relative to that line.
"""

MIN_FACTOR, MAX_FACTOR = 0.3, 8.0
"""Bounds of a factor. A degraded engine takes a few times as long as the
others; without a bound a single outlier could exclude an engine permanently."""


class LinearFit:
    """A weighted linear fit with a slope of 0 or more."""

    def __init__(
        self,
        *,
        retention: float,
        min_stddev: float,
        start: float | None = None,
        start_weight: float = 1.0,
    ):
        """Initializes the fit.

        Args:
            retention: Factor by which the weight of earlier observations decays
                with each new one.
            min_stddev: Standard deviation of x from which the slope is fitted;
                below it the line is level.
            start: Initial value, or None.
            start_weight: Weight of the initial value.
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
        """Returns the value at x; 0 if nothing is known."""
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
        """Updates the fit with an observation.

        Args:
            x: The independent variable.
            y: The observed value.
            weight: Its weight.
            sample_count: Number of observations as which it counts in the decay
                of earlier ones.
        """
        retention = self._retention**sample_count
        self._weight = retention * self._weight + weight
        self._x = retention * self._x + weight * x
        self._y = retention * self._y + weight * y
        self._xx = retention * self._xx + weight * x * x
        self._xy = retention * self._xy + weight * x * y

    def scale(self, factor: float) -> None:
        """Multiplies all predicted values by a factor."""
        self._y *= factor
        self._xy *= factor

    def _slope(self) -> float:
        mean_x = self._x / self._weight
        variance = self._xx / self._weight - mean_x**2
        if variance < self._min_stddev**2:
            return 0.0
        mean_y = self._y / self._weight
        covariance = self._xy / self._weight - mean_x * mean_y
        # A steeper line than the one through the origin would be negative
        # there.
        steepest = mean_y / max(mean_x, 1e-9)
        return min(max(covariance / variance, 0.0), steepest)


class Factor:
    """Ratio of observed to expected values at one engine."""

    def __init__(self, *, rise: float, fall: float):
        """Initializes the factor to 1.

        Args:
            rise: Weight of an observation above the current value.
            fall: Weight of an observation below it.
        """
        self._rise, self._fall = rise, fall
        self._value = 1.0

    @property
    def value(self) -> float:
        """The ratio; 1 for an average engine."""
        return self._value

    def observe(self, expected: float, observed: float) -> None:
        """Updates the ratio with the observed and the expected value."""
        if expected <= 0.0:
            return
        ratio = min(max(observed / expected, MIN_FACTOR), MAX_FACTOR)
        weight = self._rise if ratio > self._value else self._fall
        self._value += weight * (ratio - self._value)

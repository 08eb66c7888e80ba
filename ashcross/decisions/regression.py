"""Least-squares fits and moments, computed from running sums.

Only the sums are stored, as in section III of the PAQRS paper, so that memory does not grow with the number
of values.
"""

from __future__ import annotations

from math import inf

_SINGULAR = 1e-9  # relative size of a determinant below which rounding errors make it count as zero


class LinearFit:
    """Least-squares fit of y = a + b x."""

    __slots__ = ("count", "sum_x", "sum_xx", "sum_xy", "sum_y")

    def __init__(self) -> None:
        self.count = 0.0
        self.sum_x = 0.0
        self.sum_xx = 0.0
        self.sum_y = 0.0
        self.sum_xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Add one pair."""
        self.count += 1
        self.sum_x += x
        self.sum_xx += x * x
        self.sum_y += y
        self.sum_xy += x * y

    def fit(self) -> tuple[float, float] | None:
        """Return (a, b), or None if the pairs do not determine a line: it takes two different x."""
        determinant = self.count * self.sum_xx - self.sum_x * self.sum_x
        if self.count < 2 or determinant <= _SINGULAR * self.count * self.sum_xx:
            return None
        b = (self.count * self.sum_xy - self.sum_x * self.sum_y) / determinant
        return (self.sum_y - b * self.sum_x) / self.count, b


class QuadraticFit:
    """Least-squares fit of y = a + b x + c x^2."""

    __slots__ = ("count", "sum_x1", "sum_x1y", "sum_x2", "sum_x2y", "sum_x3", "sum_x4", "sum_y")

    def __init__(self) -> None:
        self.count = 0.0
        self.sum_x1 = 0.0
        self.sum_x2 = 0.0
        self.sum_x3 = 0.0
        self.sum_x4 = 0.0
        self.sum_y = 0.0
        self.sum_x1y = 0.0
        self.sum_x2y = 0.0

    def add(self, x: float, y: float) -> None:
        """Add one pair."""
        self.count += 1
        self.sum_x1 += x
        self.sum_x2 += x**2
        self.sum_x3 += x**3
        self.sum_x4 += x**4
        self.sum_y += y
        self.sum_x1y += x * y
        self.sum_x2y += x * x * y

    def fit(self) -> tuple[float, float, float] | None:
        """Return (a, b, c), or None if the pairs do not determine a quadratic: it takes three different x."""
        if self.count < 3:
            return None
        count = self.count
        mean = self.sum_x1 / count  # moments about the mean keep the determinant well scaled
        m2 = self.sum_x2 / count - mean**2
        m3 = self.sum_x3 / count - 3 * mean * self.sum_x2 / count + 2 * mean**3
        m4 = (
            self.sum_x4 / count
            - 4 * mean * self.sum_x3 / count
            + 6 * mean**2 * self.sum_x2 / count
            - 3 * mean**4
        )
        determinant = m2 * m4 - m2**3 - m3**2
        if m2 <= _SINGULAR * max(1.0, mean**2) or determinant <= _SINGULAR * m2**3:
            return None
        y0 = self.sum_y / count
        y1 = self.sum_x1y / count - mean * y0
        y2 = self.sum_x2y / count - 2 * mean * self.sum_x1y / count + mean**2 * y0
        c = (m2 * (y2 - m2 * y0) - m3 * y1) / determinant
        b = (y1 - c * m3) / m2
        a = y0 - c * m2
        return a - b * mean + c * mean**2, b - 2 * c * mean, c


class RunningMoments:
    """Count, mean and variance of the values added."""

    __slots__ = ("_sum", "_sum_of_squares", "count")

    def __init__(self) -> None:
        self.count = 0.0
        self._sum = 0.0
        self._sum_of_squares = 0.0

    def add(self, x: float) -> None:
        """Add one value."""
        self.count += 1
        self._sum += x
        self._sum_of_squares += x * x

    def mean(self) -> float:
        """Return the mean; requires at least one value."""
        return self._sum / self.count

    def _squared_standard_error(self) -> float:
        variance = max(0.0, self._sum_of_squares / self.count - self.mean() ** 2)
        return variance / self.count

    def standard_errors_from(self, other: RunningMoments) -> float:
        """Return the distance of both means in standard errors of their difference, for large samples.

        Without any variance, the distance is 0 for equal means and infinite for different ones.
        """
        difference = abs(self.mean() - other.mean())
        standard_error: float = (self._squared_standard_error() + other._squared_standard_error()) ** 0.5
        if standard_error > _SINGULAR * difference:
            return difference / standard_error
        return inf if difference else 0.0

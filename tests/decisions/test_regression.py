"""Tests of the least-squares fits and moments against results computed by hand."""

import pytest

from ashcross.decisions.regression import LinearFit, QuadraticFit, RunningMoments


def test_line_through_two_points() -> None:
    line = LinearFit()
    line.add(1.0, 3.0)
    assert line.fit() is None
    line.add(3.0, 7.0)
    assert line.fit() == pytest.approx((1.0, 2.0))  # y = 1 + 2x


def test_line_least_squares() -> None:
    line = LinearFit()
    for x, y in ((0.0, 0.0), (1.0, 2.0), (2.0, 1.0)):
        line.add(x, y)
    assert line.fit() == pytest.approx((0.5, 0.5))  # slope (3*4-3*3)/(3*5-9), through the means (1, 1)


def test_line_needs_two_different_x() -> None:
    line = LinearFit()
    line.add(2.0, 1.0)
    line.add(2.0, 5.0)
    assert line.fit() is None


def test_quadratic_through_four_points_of_a_quadratic() -> None:
    curve = QuadraticFit()
    for x in (0.5, 1.0, 1.5, 2.0):
        curve.add(x, 3.0 - 4.0 * x + 2.0 * x * x)
    assert curve.fit() == pytest.approx((3.0, -4.0, 2.0))


def test_quadratic_least_squares() -> None:
    curve = QuadraticFit()
    for x, y in ((-1.0, 1.0), (0.0, 0.0), (0.0, 2.0), (1.0, 3.0)):
        curve.add(x, y)
    # symmetric about 0: b = (3-1)/2; the mean y is 1 at x = 0 and 2 at x = -1 and 1
    assert curve.fit() == pytest.approx((1.0, 1.0, 1.0))


def test_quadratic_needs_three_different_x() -> None:
    curve = QuadraticFit()
    for _ in range(5):
        curve.add(1.0, 0.2)
        curve.add(2.0, 0.4)
    assert curve.fit() is None


def test_distance_in_standard_errors() -> None:
    first, second = RunningMoments(), RunningMoments()
    for x in (1.0, 3.0):
        first.add(x)  # mean 2, variance 1
    for x in (5.0, 7.0):
        second.add(x)  # mean 6, variance 1
    assert first.standard_errors_from(second) == pytest.approx(4.0)  # 4 / sqrt(1/2 + 1/2)


def test_distance_without_variance() -> None:
    first, second, third = RunningMoments(), RunningMoments(), RunningMoments()
    for _ in range(4):
        first.add(0.1)
        second.add(0.1)
        third.add(0.2)
    assert first.standard_errors_from(second) == 0.0
    assert first.standard_errors_from(third) > 100

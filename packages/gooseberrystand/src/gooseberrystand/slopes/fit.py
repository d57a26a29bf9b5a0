"""Measured points and the straight line through them."""

import dataclasses
import json
import statistics


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """One cost measured against one size.

    Attributes:
        cost: What was measured, with its unit.
        size: What was varied.
        points: Pairs of size and cost.
    """

    cost: str
    size: str
    points: list[tuple[float, float]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """A least-squares line.

    Attributes:
        slope: Cost for each unit of size.
        intercept: Cost at size 0.
        correlation: Near 1 or -1 if the points lie on the line; None for a flat one.
    """

    slope: float
    intercept: float
    correlation: float | None


def fit_line(series: Series) -> Line | None:
    """Returns the line through the points, or None for fewer than two sizes."""
    sizes = [size for size, _ in series.points]
    costs = [cost for _, cost in series.points]
    if len(set(sizes)) < 2:
        return None
    slope, intercept = statistics.linear_regression(sizes, costs)
    flat = len(set(costs)) < 2
    return Line(
        slope=slope,
        intercept=intercept,
        correlation=None if flat else statistics.correlation(sizes, costs),
    )


def describe_series(series: Series) -> str:
    """Returns points and line as one JSON line."""
    line = fit_line(series)
    return json.dumps(
        {
            "cost": series.cost,
            "size": series.size,
            "points": [[size, round(cost, 4)] for size, cost in series.points],
            "slope": None if line is None else round(line.slope, 6),
            "intercept": None if line is None else round(line.intercept, 4),
            "correlation": None
            if line is None or line.correlation is None
            else round(line.correlation, 3),
        }
    )

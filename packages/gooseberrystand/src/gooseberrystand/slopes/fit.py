"""Series of measured points and their linear regression."""

import dataclasses
import json
import statistics


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """One cost, measured at several values of one size.

    Attributes:
        cost: Description of the measured cost, with its unit.
        size: Description of the size that was varied.
        points: Pairs of a size and the cost measured at that size.
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
        correlation: Pearson correlation, near 1 or -1 if the points lie on the line;
            None (undefined) if all costs are equal.
    """

    slope: float
    intercept: float
    correlation: float | None


def fit_line(series: Series) -> Line | None:
    """Returns the least-squares line, or None for fewer than two different sizes."""
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


def encode_series(series: Series) -> str:
    """Returns the points and the fitted line as one line of JSON."""
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

"""Linear regression of a quantity measured at several sizes."""

import collections.abc
import statistics

import msgspec


class Series(msgspec.Struct, frozen=True):
    """Measured quantity with its least-squares line.

    Attributes:
        worst_residual: largest absolute residual.
        at_design: measured value at the design size, or that of the line
            if it was not measured.
        design: the design size in units of ``by``.
    """

    name: str
    unit: str
    by: str
    module: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    worst_residual: float
    design: float
    at_design: float
    is_measured_at_design: bool


def fit(
    name: str,
    unit: str,
    by: str,
    module: str,
    points: collections.abc.Iterable[tuple[float, float]],
    design: float,
) -> Series:
    """Fit a least-squares line to measured points."""
    measured = tuple(points)
    regression = statistics.linear_regression(*zip(*measured, strict=True))
    values = dict(measured)
    return Series(
        name=name,
        unit=unit,
        by=by,
        module=module,
        points=tuple((x, round(y, 4)) for x, y in measured),
        slope=regression.slope,
        intercept=regression.intercept,
        worst_residual=max(
            abs(y - regression.intercept - regression.slope * x)
            for x, y in measured
        ),
        design=design,
        at_design=values.get(
            design, regression.intercept + regression.slope * design
        ),
        is_measured_at_design=design in values,
    )

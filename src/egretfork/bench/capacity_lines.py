"""Straight line through a quantity measured at several sizes."""

import collections.abc
import statistics

import msgspec


class Series(msgspec.Struct, frozen=True):
    """One measured quantity and its least-squares line.

    Attributes:
        worst_residual: largest distance of a point from the line.
        at_design: value measured, or given by the line, at the design size.
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
    """Fit a line through measured points."""
    held = tuple(points)
    line = statistics.linear_regression(*zip(*held, strict=True))
    values = dict(held)
    return Series(
        name=name,
        unit=unit,
        by=by,
        module=module,
        points=tuple((x, round(y, 4)) for x, y in held),
        slope=line.slope,
        intercept=line.intercept,
        worst_residual=max(
            abs(y - line.intercept - line.slope * x) for x, y in held
        ),
        design=design,
        at_design=values.get(design, line.intercept + line.slope * design),
        is_measured_at_design=design in values,
    )

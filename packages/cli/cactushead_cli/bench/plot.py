"""Plots percentile curves of load reports."""

from collections.abc import Sequence

from ..client import Fields

MAX_PLOTTED_PERCENTILE = 99.99
MAX_PERCENTILE = 100.0
FIGURE_INCHES = (8, 5)


def plot_reports(
    reports: Sequence[Fields],
    names: Sequence[str],
    file_name: str,
) -> None:
    """Plots the slowdown (response time over ideal) by percentile to a file.

    Args:
        reports: Decoded reports.
        names: Legend label of each report.
        file_name: Output file; its suffix selects the image format.
    """
    # Imported lazily: the import takes about a second and most commands don't
    # plot.
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use('Agg')
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, axes = plt.subplots(figsize=FIGURE_INCHES)
    for report, name in zip(reports, names, strict=True):
        points = curve_points(report)
        axes.plot(
            [_inverse_tail_share(percentile) for percentile, _ in points],
            [value for _, value in points],
            marker='o',
            label=name,
        )
    ticks = (0.0, 50.0, 90.0, 99.0, 99.9, MAX_PLOTTED_PERCENTILE)
    axes.set_xscale('log')
    axes.set_xticks([_inverse_tail_share(tick) for tick in ticks])
    axes.set_xticklabels([f'{tick:g}' for tick in ticks])
    axes.minorticks_off()
    axes.set_xlabel('percentile of complete jobs')
    axes.set_ylabel('response / ideal')
    axes.grid(visible=True)
    axes.legend()
    figure.tight_layout()
    figure.savefig(file_name)
    plt.close(figure)


def curve_points(report: Fields) -> list[tuple[float, float]]:
    """Returns the percentile curve of the slowdown, without the maximum.

    Explanation:
        The maximum is the 100th percentile, which would be at infinity on
        the axis.

    Args:
        report: A decoded report.
    """
    points = report.child('ratio').children('curve')
    return [
        (point.number('percentile'), point.number('value'))
        for point in points
        if point.number('percentile') <= MAX_PLOTTED_PERCENTILE
    ]


def _inverse_tail_share(percentile: float) -> float:
    """Returns the axis position of a percentile: 1 over the share above it."""
    return MAX_PERCENTILE / (MAX_PERCENTILE - percentile)

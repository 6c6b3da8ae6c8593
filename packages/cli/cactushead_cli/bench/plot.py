"""Plots of the percentile curves of reports."""

from collections.abc import Sequence

from ..client import Fields

HIGHEST_PERCENTILE = 99.99
WHOLE_PERCENT = 100.0
FIGURE_INCHES = (8, 5)


def plot_reports(
    reports: Sequence[Fields],
    names: Sequence[str],
    file_name: str,
) -> None:
    """Writes a plot of response over ideal by percentile.

    Args:
        reports: Decoded reports.
        names: A name for each.
        file_name: The picture's file; its suffix gives the form.
    """
    # Imported only here, since it takes a second and most commands don't
    # need it.
    import matplotlib as mpl  # noqa: PLC0415

    mpl.use('Agg')
    from matplotlib import pyplot as plt  # noqa: PLC0415

    figure, axes = plt.subplots(figsize=FIGURE_INCHES)
    for report, name in zip(reports, names, strict=True):
        points = curve_points(report)
        axes.plot(
            [_odds(percentile) for percentile, _ in points],
            [value for _, value in points],
            marker='o',
            label=name,
        )
    ticks = (0.0, 50.0, 90.0, 99.0, 99.9, HIGHEST_PERCENTILE)
    axes.set_xscale('log')
    axes.set_xticks([_odds(tick) for tick in ticks])
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
    """Returns the curve of response over ideal, without its maximum.

    Args:
        report: A decoded report.
    """
    points = report.child('ratio').children('curve')
    return [
        (point.number('percentile'), point.number('value'))
        for point in points
        if point.number('percentile') <= HIGHEST_PERCENTILE
    ]


def _odds(percentile: float) -> float:
    return WHOLE_PERCENT / (WHOLE_PERCENT - percentile)

"""Load tests and response time measurements of a running cluster."""

from .report import Report
from .response import ResponseReport, ResponseRun
from .run import LoadRun, RunOptions
from .shapes import SHAPES, LoadSpec

__all__ = [
    'SHAPES',
    'LoadRun',
    'LoadSpec',
    'Report',
    'ResponseReport',
    'ResponseRun',
    'RunOptions',
]

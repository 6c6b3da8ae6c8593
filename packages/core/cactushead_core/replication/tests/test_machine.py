"""Randomised runs of a cell under faults."""

import os
import random
import time

import pytest
from cactushead_core.replication.tests.cell import Cell
from cactushead_core.replication.tests.faults import Faults
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

SOAK_STEPS = 3000
CHOICES = st.integers(0, 2**16)


class CellMachine(RuleBasedStateMachine):
    """Lets hypothesis choose the faults and shrink failing sequences."""

    size = 3

    def __init__(self):
        super().__init__()
        self.cell = Cell(self.size)
        self.random = random.Random(0)
        self.faults = Faults(self.cell, self.random.randrange)

    @rule()
    def settle(self):
        self.cell.run(20)

    @rule(step=st.integers(0, 63), seed=CHOICES)
    def fault(self, step, seed):
        self.random.seed(seed)
        self.faults.steps[step % len(self.faults.steps)]()
        self.cell.check_leader_lease()

    def teardown(self):
        self.cell.heal()


class LargeCellMachine(CellMachine):
    size = 5


PROFILE = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=60,
)
TestCell = CellMachine.TestCase
TestCell.settings = PROFILE
TestLargeCell = LargeCellMachine.TestCase
TestLargeCell.settings = settings(PROFILE, max_examples=20)


def run_seed(seed, size, steps):
    """Injects faults chosen by a seed, then heals the cell."""
    cell = Cell(size, snapshot_entries=(8, 40, 0)[seed % 3])
    faults = Faults(cell, random.Random(seed).randrange)
    for _ in range(steps):
        faults.step()
    cell.heal()
    return cell


@pytest.mark.parametrize(('seed', 'size'), [(1, 3), (2, 3), (3, 5), (4, 5)])
def test_long_run(seed, size):
    cell = run_seed(seed, size, steps=500)
    assert len(cell.committed) > 50


@pytest.mark.skipif(
    os.environ.get('CACTUSHEAD_SOAK') != '1',
    reason='runs by make soak',
)
def test_soak():
    limit_s = float(os.environ.get('CACTUSHEAD_SOAK_S', '120'))
    seed = int(os.environ.get('CACTUSHEAD_SOAK_SEED', '1000'))
    started_s = time.monotonic()
    while time.monotonic() - started_s < limit_s:
        size = (3, 3, 5)[seed % 3]
        print(f'soak: seed {seed}, {size} voters, {SOAK_STEPS} steps')
        cell = run_seed(seed, size, SOAK_STEPS)
        print(
            f'soak: seed {seed} held, {len(cell.committed)} entries,'
            f' {len(cell.leaders)} terms',
        )
        seed += 1

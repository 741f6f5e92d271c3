"""A few seeded plays of several disturbances at once; `live_soak.py` plays any number by hand."""

import asyncio
from pathlib import Path

import pytest
from live_soak import play_seed


@pytest.mark.parametrize("seed", [103, 121, 140, 143])
def test_no_rule_breaks_under_several_disturbances_at_once(seed: int, tmp_path: Path) -> None:
    assert asyncio.run(play_seed(seed, tmp_path)) == []

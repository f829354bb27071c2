"""The example of an embedded lease runs and shows what it says."""

import pathlib
import runpy

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def test_one_holder_comes_after_the_other():
    names = runpy.run_path(str(EXAMPLES / "embed_lease.py"))
    first, second = names["main"]()
    assert first == "  0.1 s: first acts under term 0"
    assert "second acts under term" in second

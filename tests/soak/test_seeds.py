"""Known failures of rigs: passed over for the listed seed and guarantee, and for nothing else."""

from __future__ import annotations

from soak.seeds import has_failed, known_failures

LINES = [
    "tests/gateway/test_x.py::test_y | make test, no seed | sometimes | 1",
    "tests/soak/run.py contained | python tests/soak/run.py --seeds 3:3 --seconds 12 | once | 75",
]


def test_only_the_listed_guarantee_of_the_listed_seed_is_passed_over() -> None:
    """Another seed, another rig and another guarantee count as before."""
    known = known_failures(LINES, "tests/soak/run.py", 3)
    assert list(known) == ["contained"]
    assert not known_failures(LINES, "tests/soak/run.py", 4)
    assert not known_failures(LINES, "tests/soak/planned.py", 3)
    assert not has_failed({"violations": ["contained: 6 servers crashed"]}, known)
    assert has_failed({"violations": ["contained: 6", "twice: x"]}, known)
    assert has_failed({"violations": ["contained: 6 servers crashed"]}, {})
    assert has_failed({"violations": [], "lost": 1}, known)
    assert not has_failed({"violations": [], "lost": 0}, known)

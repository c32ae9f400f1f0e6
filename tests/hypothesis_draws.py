"""Makes draws of Hypothesis independent of the modules that a test worker has loaded.

Hypothesis draws some values from the constants of all loaded modules of the project. Which modules
are loaded depends on how tests are distributed to workers. Without this, so would the draws of a
derandomized test, and whether a search finds its defect.
"""

from __future__ import annotations

from hypothesis.internal.conjecture.providers import HypothesisProvider
from hypothesis.internal.constants_ast import Constants


def draw_independently_of_modules() -> None:
    """Exclude these constants in this process.

    Hypothesis has no setting for this, and uses a custom provider only for some of the draws.
    """
    HypothesisProvider._local_constants = Constants()  # type: ignore[assignment]

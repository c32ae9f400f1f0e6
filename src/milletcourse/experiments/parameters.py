"""Parameters of the experiments, loaded from the files in `examples/`."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from milletcourse.configuration.files import ObjectDocument, load_objects
from milletcourse.errors import FailureError, InvalidObject
from milletcourse.standins.engine_core import EngineProfile

EXAMPLES_DIRECTORY = Path(__file__).parents[3] / "examples"
DEPLOYMENTS = ("roster-desk", "whitcombe")


class PrefixLevel(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One level of a nested prefix.

    Attributes:
        name: Name of the level.
        blocks: Blocks that it adds.
        variants: Number of distinct contents.
        per: `group` when all tenants of a sharing group have the same contents, else `tenant`.
        zipf: Zipf exponent of the variants' popularity; 0 for uniform.
        shifts: Whether its contents are replaced at the shift.
        grows: Whether each request adds a block to its variant.
    """

    name: str
    blocks: int
    variants: int
    per: str
    zipf: float = 0.0
    shifts: bool = False
    grows: bool = False


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of requests and its arrival rate.

    Attributes:
        name: Request class, as workloads match it.
        requests_per_second: Rate at load 1.0.
        levels: Nested prefix, outermost first.
        tail_tokens: Prompt tokens after the last block.
        output_tokens: Tokens to generate.
        goodput_seconds: Bound of the time to first token for goodput.
    """

    name: str
    requests_per_second: float
    levels: tuple[PrefixLevel, ...]
    tail_tokens: int
    output_tokens: int
    goodput_seconds: float


class WorkloadParameters(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything an experiment needs besides the policy objects."""

    duration_seconds: float
    warm_up_seconds: float
    routers: int
    tenant_zipf: float
    shift_at_seconds: float
    engine: dict[str, Any]
    classes: tuple[RequestClass, ...]

    def profile(self) -> EngineProfile:
        """Performance profile of the engines."""
        return msgspec.convert(self.engine, EngineProfile)


class Deployment(msgspec.Struct, frozen=True):
    """Policy objects and workload of one deployment."""

    name: str
    objects: tuple[ObjectDocument, ...]
    workload: WorkloadParameters


def load_deployment(name: str) -> Deployment:
    """Load the files of a deployment.

    Raises:
        FailureError: `InvalidObject`.
    """
    if name not in DEPLOYMENTS:
        raise FailureError(InvalidObject(name, None, "deployment", name, " or ".join(DEPLOYMENTS)))
    path = EXAMPLES_DIRECTORY / f"{name}.workload.toml"
    try:
        workload = msgspec.convert(tomllib.loads(path.read_text()), WorkloadParameters)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise FailureError(
            InvalidObject(str(error), None, "workload", str(path), str(error))
        ) from error
    return Deployment(name, load_objects(EXAMPLES_DIRECTORY / f"{name}.toml"), workload)

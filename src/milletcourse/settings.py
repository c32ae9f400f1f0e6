"""Settings of a router process: TOML file, environment and flags, in increasing precedence."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, ClassVar

from pydantic import Field, ValidationError
from pydantic_settings import (
    BaseSettings,
    PydanticBaseSettingsSource,
    SettingsConfigDict,
    TomlConfigSettingsSource,
)

from milletcourse.configuration.freshness import DEFAULT_BOUND_SECONDS, DEFAULT_SKEW_SECONDS
from milletcourse.errors import FailureError, InvalidObject

ENVIRONMENT_PREFIX = "MILLETCOURSE_"
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"


class RouterSettings(BaseSettings):
    """Bootstrap settings, needed before the router has a configuration."""

    model_config = SettingsConfigDict(env_prefix=ENVIRONMENT_PREFIX, extra="forbid", frozen=True)
    toml_path: ClassVar[Path | None] = None

    name: str = Field(min_length=1, max_length=64, description="Unique name of this router.")
    place: str = Field(default="", description="Zone of this machine; names a Place object.")
    host: str = Field(default="127.0.0.1", description="IP number to listen on.")
    port: int = Field(default=0, ge=0, le=65535, description="HTTP port; 0 selects a free one.")
    datagram_port: int = Field(default=0, ge=0, le=65535, description="UDP port; 0 for a free one.")
    platform: str = Field(pattern=ADDRESS_PATTERN, description="host:port of the object API.")
    peers: tuple[str, ...] = Field(default=(), description="HTTP host:port of some routers.")
    cluster_key: str = Field(
        min_length=16, description="Secret shared by all routers; signs their messages."
    )
    log_level: str = Field(default="info", pattern="^(debug|info|warning|error)$")
    freshness_bound_seconds: float = Field(default=DEFAULT_BOUND_SECONDS, gt=0)
    clock_skew_seconds: float = Field(default=DEFAULT_SKEW_SECONDS, ge=0)
    max_body_bytes: int = Field(default=4 * 1024 * 1024, ge=1024)
    max_held_bytes: int = Field(
        default=96 * 1024 * 1024,
        ge=1024 * 1024,
        description="Bodies of all requests that are being received or served.",
    )
    drain_seconds: float = Field(
        default=1.0, ge=0, description="Seconds for which a draining router still serves."
    )

    @classmethod
    def settings_customise_sources(
        cls,
        settings_cls: type[BaseSettings],
        init_settings: PydanticBaseSettingsSource,
        env_settings: PydanticBaseSettingsSource,
        dotenv_settings: PydanticBaseSettingsSource,
        file_secret_settings: PydanticBaseSettingsSource,
    ) -> tuple[PydanticBaseSettingsSource, ...]:
        """Precedence: flags, then environment, then file."""
        if cls.toml_path is None:
            return init_settings, env_settings
        return init_settings, env_settings, TomlConfigSettingsSource(settings_cls, cls.toml_path)


def load_settings(path: Path | None, flags: dict[str, Any]) -> RouterSettings:
    """Read and validate settings.

    Args:
        path: TOML file, None for none.
        flags: Values from the command line; None values are ignored.

    Raises:
        FailureError: `InvalidObject` that names the first invalid key.
    """
    if path is not None:
        _check_readable(path)
    sources: type[RouterSettings] = type(
        "RouterSettingsFromFile", (RouterSettings,), {"toml_path": path, "__module__": __name__}
    )
    try:
        return sources(**{key: value for key, value in flags.items() if value is not None})
    except ValidationError as error:
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        shown = "" if key == "cluster_key" or first["type"] == "missing" else str(first["input"])
        raise FailureError(
            InvalidObject(f"{key}: {first['msg']}", None, key, shown[:80], first["msg"])
        ) from error


def _check_readable(path: Path) -> None:
    try:
        tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise FailureError(
            InvalidObject(f"{path.name}: {error}", None, "config", str(path), "a TOML file")
        ) from error

"""Structured logs: one JSON object per line on standard error.

Prompt text, keys and tokens are never logged; `request_id`, `tenant` and `attempt` are.
"""

from __future__ import annotations

import logging
import sys
from typing import Any

import structlog

FORBIDDEN_FIELDS = frozenset({"prompt", "messages", "key", "authorization", "token", "body"})


def _drop_forbidden_fields(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for name in FORBIDDEN_FIELDS.intersection(event):
        event[name] = "[redacted]"
    return event


def configure_logs(level: str) -> None:
    """Configure JSON log lines on standard error.

    Args:
        level: Name of the lowest level to write, e.g. `info`.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _drop_forbidden_fields,
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(component: str) -> Any:
    """A logger that adds the component's name to each line."""
    return structlog.get_logger(component=component)

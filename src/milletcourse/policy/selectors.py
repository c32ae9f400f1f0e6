"""Label selectors with the semantics of the Kubernetes API."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

import msgspec

Labels = Mapping[str, str]


class Operator(StrEnum):
    """How an expression compares a label."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


class Expression(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One requirement on one label.

    Attributes:
        key: Label name.
        operator: Comparison.
        values: Allowed or forbidden values; empty for Exists and DoesNotExist.
    """

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Whether the labels meet the requirement. NotIn holds for an absent label."""
        value = labels.get(self.key)
        if self.operator is Operator.IN:
            return value is not None and value in self.values
        if self.operator is Operator.NOT_IN:
            return value is None or value not in self.values
        if self.operator is Operator.EXISTS:
            return value is not None
        return value is None


class Selector(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="camel", omit_defaults=True
):
    """A conjunction of requirements; an empty selector matches everything.

    Attributes:
        match_labels: Labels that must have exactly these values.
        match_expressions: Further requirements.
    """

    match_labels: dict[str, str] = {}
    match_expressions: tuple[Expression, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Whether the labels meet all requirements."""
        return self.first_mismatch(labels) is None

    def first_mismatch(self, labels: Labels) -> str | None:
        """Describe the first requirement that the labels don't meet; None on a match."""
        for key, value in sorted(self.match_labels.items()):
            if labels.get(key) != value:
                return f"label {key} is {labels.get(key)!r}, wanted {value!r}"
        for expression in self.match_expressions:
            if not expression.matches(labels):
                wanted = f"{expression.operator} {list(expression.values)}".removesuffix(" []")
                return f"label {expression.key} is {labels.get(expression.key)!r}, wanted {wanted}"
        return None

    def canonical(self) -> bytes:
        """Canonical encoding, equal for selectors with the same requirements in any order."""
        expressions = sorted(
            (item.key, str(item.operator), sorted(item.values)) for item in self.match_expressions
        )
        return msgspec.json.encode([sorted(self.match_labels.items()), expressions])


EVERYTHING = Selector()

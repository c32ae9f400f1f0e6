"""Decodes JSON documents member by member, so that one unreadable value affects no other.

A decoder reads nested values recursively and checks all text, so that it rejects a whole document
for one value that is nested too deeply or isn't valid text. Here a document is first split at its
brackets and commas, without recursion, and its members are decoded one by one.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from milletcourse.runtime.decode_errors import DECODE_ERRORS

NESTING_MARGIN = 100
"""A value counts as readable if it could be nested this many levels deeper. How deeply a decoder
reads depends on its caller, and other gateways decode the value as a part of larger messages."""
_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_TOKEN = re.compile(_STRING + rb"|[\[\]{},]", re.DOTALL)
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)

_Struct = TypeVar("_Struct", bound=msgspec.Struct)


def split_array(document: bytes) -> list[bytes]:
    """The elements of an array, which are not examined; raises `ValueError` if it is none."""
    return list(_members(document, b"[", b"]"))


def split_object(document: bytes) -> dict[str, bytes]:
    """The members of an object by name, which are not examined.

    Members whose name isn't valid text are left out.

    Raises:
        ValueError: The document is no object.
    """
    members = {}
    for member in _members(document, b"{", b"}"):
        key = _KEY.match(member)
        if key is None:
            raise ValueError("a member has no name")
        try:
            name = msgspec.json.decode(key[1], type=str)
        except DECODE_ERRORS:
            continue
        members[name] = member[key.end() :]
    return members


def _members(document: bytes, opening: bytes, closing: bytes) -> Iterator[bytes]:
    """The parts between the outermost brackets, divided by commas."""
    text = document.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ValueError(f"not enclosed in {opening.decode()} and {closing.decode()}")
    depth = 0
    start = 1
    for token in _TOKEN.finditer(text):
        bracket = token[0]
        if bracket in (b"[", b"{"):
            depth += 1
        elif bracket in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                break
        elif bracket == b"," and depth == 1:
            yield text[start : token.start()]
            start = token.end()
    if depth or token.end() != len(text):
        raise ValueError("brackets are not balanced")
    if last := text[start:-1].strip():
        yield last


def decode_document(document: bytes | msgspec.Raw, message_type: type[_Struct]) -> _Struct:
    """Decode an object that may contain values which no decoder reads; errors as below."""
    try:
        return msgspec.json.decode(document, type=message_type)
    except DECODE_ERRORS:
        return decode_members(bytes(document), message_type)


def decode_members(document: bytes, message_type: type[_Struct]) -> _Struct:
    """Decode an object member by member; those that the type doesn't name are not examined.

    Members of type `Raw`, and the elements of a list of these, are not examined either.

    Raises:
        ValueError: A member is missing or unreadable, or the document is no object.
        msgspec.MsgspecError: A member has another type.
    """
    members = split_object(document)
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(message_type):
        member = members.get(field.encode_name)
        if member is not None:
            values[field.name] = _decode_member(member, field.type)
        elif field.required:
            raise ValueError(f"{field.encode_name} is missing")
    return message_type(**values)


def _decode_member(member: bytes, member_type: Any) -> Any:
    if member_type is msgspec.Raw:
        return msgspec.Raw(member)
    if member_type == list[msgspec.Raw]:
        return [msgspec.Raw(element) for element in split_array(member)]
    try:
        return msgspec.json.decode(member, type=member_type)
    except DECODE_ERRORS:
        if isinstance(member_type, type) and issubclass(member_type, msgspec.Struct):
            return decode_members(member, member_type)
        raise


def is_readable(value: bytes) -> bool:
    """Whether any gateway can decode a value, also as a part of another document."""
    is_flat = value.count(b"[") + value.count(b"{") < NESTING_MARGIN
    enclosed = value if is_flat else b"[" * NESTING_MARGIN + value + b"]" * NESTING_MARGIN
    try:
        msgspec.json.decode(enclosed, type=msgspec.Raw)
    except DECODE_ERRORS:
        return False
    return True

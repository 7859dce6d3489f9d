"""Strict JSON encoding and decoding of attrs classes, and digests."""

from __future__ import annotations

import functools
import hashlib
import json
import re
from typing import Any
from typing import TypeVar

import cattrs
from cattrs.errors import ForbiddenExtraKeysError

from cassiahead_notes import errors

__all__ = [
    "decode",
    "digest",
    "encode",
    "first_fault",
    "strict_converter",
    "text_digest",
]

_T = TypeVar("_T")
# cattrs names the attribute, key or index at fault in the ``__notes__`` of its
# exceptions.
_ATTRIBUTE_PATTERN = re.compile(r"attribute (\w+)")
_KEY_PATTERN = re.compile(
    r"@ (?:key|value for key|index) ['\"]?([^'\"]+)['\"]?"
)


def strict_converter() -> cattrs.Converter:
    """Returns a converter that refuses unknown keys and wrong JSON types."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(str, _structure_str)
    return converter


def encode(value: Any) -> str:  # noqa: ANN401
    """Returns a value as canonical JSON, with sorted keys and no spaces."""
    json_value = _converter().unstructure(value)
    return json.dumps(json_value, sort_keys=True, separators=(",", ":"))


def decode(text: str | bytes, value_class: type[_T]) -> _T:
    """Decodes JSON text into an attrs class.

    Args:
        text: JSON text.
        value_class: The attrs class to build.

    Returns:
        The decoded value.

    Raises:
        errors.NoteError: With code ``MALFORMED`` and the JSON path of the first
            offending value, if the text isn't JSON or doesn't fit the class.
    """
    try:
        json_value = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise _malformed("$", f"not JSON: {error}") from error
    try:
        return _converter().structure(json_value, value_class)
    except Exception as error:
        path, detail = first_fault(error)
        raise _malformed(path, detail) from error


def digest(value: Any) -> str:  # noqa: ANN401
    """Returns the SHA-256 digest of a value's canonical JSON, in hex."""
    return text_digest(encode(value))


def text_digest(text: str) -> str:
    """Returns the SHA-256 digest of a text in UTF-8, in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()


def first_fault(error: BaseException, path: str = "$") -> tuple[str, str]:
    """Finds the first value that caused a cattrs error.

    Args:
        error: An exception raised by a strict converter.
        path: JSON path of the value that was being structured.

    Returns:
        The JSON path of the offending value, and an explanation.
    """
    match error:
        case BaseExceptionGroup():
            first_error = error.exceptions[0]
            return first_fault(first_error, path + _path_step(first_error))
        case ForbiddenExtraKeysError():
            return path, f"unknown key {sorted(error.extra_fields)[0]!r}"
        case KeyError():
            return path, f"missing key {error.args[0]!r}"
        case _:
            return path, str(error)


@functools.cache
def _converter() -> cattrs.Converter:
    return strict_converter()


def _malformed(path: str, detail: str) -> errors.NoteError:
    return errors.NoteError(errors.NoteErrorCode.MALFORMED, path, detail)


def _path_step(error: BaseException) -> str:
    if isinstance(error, KeyError):
        return ""
    for exception_note in getattr(error, "__notes__", ()):
        for pattern in (_ATTRIBUTE_PATTERN, _KEY_PATTERN):
            if location := pattern.search(str(exception_note)):
                return f".{location.group(1)}"
    return ""


def _structure_int(value: Any, _: type) -> int:  # noqa: ANN401
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected an integer, got {value!r}")
    return value


def _structure_float(value: Any, _: type) -> float:  # noqa: ANN401
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, got {value!r}")
    return float(value)


def _structure_bool(value: Any, _: type) -> bool:  # noqa: ANN401
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, got {value!r}")
    return value


def _structure_str(value: Any, value_class: type) -> str:  # noqa: ANN401
    if not isinstance(value, str):
        raise TypeError(f"expected a string, got {value!r}")
    # cattrs also calls this hook for enumerations derived from str.
    return value if value_class is str else value_class(value)

"""JSON coding of the inner messages."""

from __future__ import annotations

import json
from typing import Any
from typing import TypeVar

import cattrs

__all__ = ["ProtocolError", "decode", "encode"]

_T = TypeVar("_T")
_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class ProtocolError(Exception):
    """A message that does not have the shape of its type."""

    code = "CP01"


def encode(message: Any) -> bytes:  # noqa: ANN401
    """Returns a message as JSON on one line, without a line end."""
    plain = _CONVERTER.unstructure(message)
    return json.dumps(plain, separators=(",", ":")).encode()


def decode(data: bytes | str, message_class: type[_T]) -> _T:
    """Decodes a message.

    Args:
        data: JSON text of one message.
        message_class: The message class expected.

    Returns:
        The message.

    Raises:
        ProtocolError: If the text is not such a message.
    """
    try:
        return _CONVERTER.structure(json.loads(data), message_class)
    except Exception as error:
        raise ProtocolError(f"not a {message_class.__name__}") from error

"""JSON encoding of the messages of the inner protocol."""

from __future__ import annotations

import json
from typing import Any
from typing import TypeVar

import cattrs

__all__ = ["ProtocolError", "decode", "encode"]

_T = TypeVar("_T")
_CONVERTER = cattrs.Converter(forbid_extra_keys=False)


class ProtocolError(Exception):
    """A message that is not JSON or lacks the fields of its class."""

    code = "CP01"


def encode(message: Any) -> bytes:  # noqa: ANN401
    """Encodes a message.

    Args:
        message: Instance of a message class of ``api``.

    Returns:
        JSON on one line, without a line end.
    """
    document = _CONVERTER.unstructure(message)
    return json.dumps(document, separators=(",", ":")).encode()


def decode(data: bytes | str, message_class: type[_T]) -> _T:
    """Decodes a message.

    Unknown fields are ignored, so that a newer process may add fields.

    Args:
        data: JSON text of one message.
        message_class: Class of the message.

    Raises:
        ProtocolError: If the text is not a valid message of this class.
    """
    try:
        return _CONVERTER.structure(json.loads(data), message_class)
    except Exception as error:
        raise ProtocolError(
            f"not a valid {message_class.__name__} message"
        ) from error

"""Validates and authenticates the requests of callers."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from cassiahead_daemon import caller_messages
from cassiahead_daemon import errors
from cassiahead_decisions import idempotency_keys
from cassiahead_notes import api as notes

__all__ = ["authenticate", "target_body", "validate_request"]

_MAX_HITS = 1000


def validate_request(
    request: caller_messages.CallerRequest, route: notes.Route
) -> None:
    """Checks the method and the parameters of a request.

    Raises:
        errors.RequestError: ``BAD_REQUEST``, if they do not fit the route.
    """
    is_order = route.kind is notes.RouteKind.ORDER
    if is_order != (request.method == "POST"):
        expected_method = "POST" if is_order else "GET"
        raise errors.not_run_error(
            errors.ErrorCode.BAD_REQUEST,
            f"this route accepts {expected_method} only",
        )
    if route.kind is not notes.RouteKind.SEARCH and not request.record_id:
        raise errors.not_run_error(
            errors.ErrorCode.BAD_REQUEST, "parameter id is missing"
        )
    if not 1 <= request.limit <= _MAX_HITS:
        raise errors.not_run_error(
            errors.ErrorCode.BAD_REQUEST,
            f"limit must be between 1 and {_MAX_HITS}",
        )
    idempotency_key = request.idempotency_key
    if (
        idempotency_key is not None
        and idempotency_keys.uuid7_wall_time(idempotency_key) is None
    ):
        raise errors.not_run_error(
            errors.ErrorCode.BAD_REQUEST,
            idempotency_keys.KeyFault.NOT_UUID7.value,
        )
    if is_order:
        try:
            json.loads(request.body)
        except (ValueError, RecursionError):
            raise errors.not_run_error(
                errors.ErrorCode.BAD_REQUEST, "the body is not JSON"
            ) from None


def authenticate(
    configuration: notes.Configuration, route: notes.Route, secret: str | None
) -> tuple[str, str]:
    """Returns the client account and the SHA-256 digest of the caller's key.

    Both are empty on an open route.

    Args:
        configuration: The configuration in force.
        route: The route of the request.
        secret: The secret that the caller sent; None if it sent none.

    Raises:
        errors.RequestError: ``KEY_MISSING`` or ``KEY_INVALID``.
    """
    if route.open:
        return "", ""
    if secret is None:
        raise errors.not_run_error(
            errors.ErrorCode.KEY_MISSING, "this route needs a key"
        )
    key_digest = hashlib.sha256(secret.encode()).hexdigest()
    # The lookup is not constant-time, but its timing reveals nothing about a
    # secret: a caller cannot choose secrets whose digests share a prefix with
    # a stored digest.
    key = configuration.keys.get(key_digest)
    if key is None:
        raise errors.not_run_error(
            errors.ErrorCode.KEY_INVALID, "the key is unknown or withdrawn"
        )
    return key.account, key_digest


def target_body(
    request: caller_messages.CallerRequest, route: notes.Route
) -> str:
    """Returns the JSON text that is sent to targets."""
    match route.kind:
        case notes.RouteKind.SEARCH:
            body_fields: dict[str, Any] = {
                "query": request.query,
                "limit": request.limit,
            }
        case notes.RouteKind.LOOKUP:
            body_fields = {"id": request.record_id}
        case notes.RouteKind.ORDER:
            body_fields = {
                "id": request.record_id,
                "order": json.loads(request.body),
            }
    return json.dumps(body_fields, sort_keys=True)

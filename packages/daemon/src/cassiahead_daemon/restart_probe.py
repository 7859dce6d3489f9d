"""Finds out whether a target has restarted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cassiahead_daemon import target_messages
from cassiahead_wire import connection as connection_lib

if TYPE_CHECKING:
    from cassiahead_decisions import target_state

__all__ = ["has_restarted"]

_TIMEOUT_S = 0.25


async def has_restarted(state: target_state.TargetState) -> bool:
    """Returns whether the target has restarted since it last answered.

    The incarnation that the target's health endpoint reports is compared
    with the last one known, to distinguish a crash of the target from the
    loss of a single connection. A target that accepts no connection counts
    as restarted. A target that accepts the connection but sends no JSON
    object counts as not restarted.

    Args:
        state: State of the target, with the last known incarnation.
    """
    known_incarnation = state.incarnation
    if not known_incarnation:
        # The target has given this relay no successful answer yet, so there
        # is no incarnation to compare with. The connection was probably
        # new, so a crash of the target is a likelier cause than a fault of
        # the connection.
        return True
    try:
        connection = await connection_lib.Connection.open(
            state.spec.address, _TIMEOUT_S
        )
    except connection_lib.TransportError:
        return True
    try:
        response = await connection.request("GET", "/health", b"", _TIMEOUT_S)
    except connection_lib.TransportError:
        return False
    finally:
        connection.close()
    seen_incarnation = target_messages.parse_incarnation(response.body)
    return seen_incarnation not in (None, known_incarnation)

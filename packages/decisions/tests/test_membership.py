"""The change count grows by one each time a peer's availability changes."""

from __future__ import annotations

from cassiahead_decisions import membership
from cassiahead_protocol import api

_OWN_PROCESS = api.Process("10.0.0.1:1", "entry", "d", 1)
_PEER = api.Process("10.0.0.2:1", "entry", "d", 1)


def test_change_count_grows_when_a_peer_becomes_available_or_unavailable() -> (
    None
):
    members = membership.Members(_OWN_PROCESS)
    counts = []

    # With ``ready`` None, no message arrives, and silent peers are marked.
    def record(now: float, ready: bool | None) -> None:
        if ready is None:
            members.mark_silent(now)
        else:
            members.record_message(_PEER, ready, now)
        counts.append(members.change_count)

    record(1.0, ready=False)
    record(1.1, ready=True)
    record(1.2, ready=True)
    record(1.3, ready=None)
    record(1.2 + membership.SUSPECT_AFTER_S, ready=None)
    record(2.6, ready=None)
    record(2.7, ready=True)
    record(2.8, ready=False)
    assert counts == [0, 1, 1, 1, 2, 2, 3, 4]

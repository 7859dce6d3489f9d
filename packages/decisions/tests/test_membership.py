"""What a process believes of the others changes once with each event."""

from __future__ import annotations

from cassiahead_decisions import membership
from cassiahead_protocol import api

_ME = api.Process("10.0.0.1:1", "entry", "d", 1)
_PEER = api.Process("10.0.0.2:1", "entry", "d", 1)


def test_changes_are_counted_when_a_peer_counts_or_no_longer_does() -> None:
    members = membership.Members(_ME)
    counts = []

    def note(now: float, ready: bool | None) -> None:
        if ready is None:
            members.mark_silent(now)
        else:
            members.record_message(_PEER, ready, now)
        counts.append(members.change_count)

    note(1.0, ready=False)
    note(1.1, ready=True)
    note(1.2, ready=True)
    note(1.3, ready=None)
    note(1.2 + membership.SUSPECT_AFTER_S, ready=None)
    note(2.6, ready=None)
    note(2.7, ready=True)
    note(2.8, ready=False)
    assert counts == [0, 1, 1, 1, 2, 2, 3, 4]

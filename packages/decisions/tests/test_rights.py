"""A right has one holder at a time, in cases that random runs rarely reach."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cassiahead_decisions import ceiling as ceiling_lib
from cassiahead_decisions import rate_limiter
from cassiahead_decisions import rights
from cassiahead_notes import api

_RESOURCE = rate_limiter.account_resource("misr")


def lender_in_contact(started_at: float) -> rights.Lender:
    """Returns a lender that never loses contact with its peers."""
    lender = rights.Lender(started_at)
    lender.record_contact(1e9)
    return lender


def test_successor_lends_nothing_until_its_predecessors_leases_end() -> None:
    predecessor = lender_in_contact(-100.0)
    borrower = rights.Borrower()
    assert predecessor.lend(_RESOURCE, "home", 1, 10.0)
    borrower.record_lease(_RESOURCE, "lender", 10.0, rights.LEASE_S, 10.0)
    successor = lender_in_contact(10.0)
    time = 10.0
    while borrower.held_right_count(_RESOURCE, time):
        assert not successor.lend(_RESOURCE, "other", 1, time)
        time += 0.01
    assert successor.lend(_RESOURCE, "other", 1, 10.0 + rights.QUARANTINE_S)


def test_successor_lends_nothing_until_a_cut_off_predecessor_stops() -> None:
    predecessor = rights.Lender(-100.0)
    predecessor.record_contact(10.0)
    successor = lender_in_contact(10.0)
    for step in range(1000):
        now = 10.0 + step / 100
        assert not (predecessor.may_lend(now) and successor.may_lend(now))


def test_process_without_contact_lends_nothing() -> None:
    lender = rights.Lender(0.0)
    lender.record_contact(10.0)
    assert lender.may_lend(10.0 + rights.LENDER_CONTACT_TIMEOUT_S - 0.01)
    assert not lender.may_lend(10.0 + rights.LENDER_CONTACT_TIMEOUT_S)


def test_overtaken_release_does_not_end_a_later_lease() -> None:
    lender = lender_in_contact(-100.0)
    assert lender.lend(_RESOURCE, "home", 5, 1.0)
    assert not lender.release(_RESOURCE, "home", 4)
    assert not lender.lend(_RESOURCE, "other", 1, 1.5)
    assert lender.release(_RESOURCE, "home", 5)
    assert lender.lend(_RESOURCE, "other", 1, 1.6)


def test_repeated_old_request_does_not_lower_the_sequence() -> None:
    lender = lender_in_contact(-100.0)
    lender.lend(_RESOURCE, "home", 7, 1.0)
    lender.lend(_RESOURCE, "home", 3, 1.1)
    assert not lender.release(_RESOURCE, "home", 5)


def test_late_reply_to_a_request_from_before_a_release_is_ignored() -> None:
    borrower = rights.Borrower()
    borrower.record_lease(_RESOURCE, "a", 1.0, rights.LEASE_S, 1.0)
    assert borrower.forget_rights(_RESOURCE, 1.5) == ["a"]
    borrower.record_lease(_RESOURCE, "a", 1.2, rights.LEASE_S, 1.6)
    assert borrower.held_right_count(_RESOURCE, 1.6) == 0
    borrower.record_lease(_RESOURCE, "a", 1.7, rights.LEASE_S, 1.8)
    assert borrower.held_right_count(_RESOURCE, 1.8) == 1


def test_ended_lease_loses_its_tokens_before_another_begins() -> None:
    borrower = rights.Borrower()
    ceiling = ceiling_lib.Ceiling(rate_limiter.LIMIT_CHANGE_OVERLAP_S)
    ceiling.configure(2, 0.0)
    limiter = rate_limiter.AccountRateLimiter(borrower, ceiling)
    limiter.configure({"misr": api.Account(rate_per_s=10, burst=10)}, 0.0)
    borrower.record_lease(_RESOURCE, "a", 0.0, rights.LEASE_S, 0.0)
    limiter.refill_all(0.0)
    limiter.refill_all(1.9)
    borrower.record_lease(_RESOURCE, "b", 2.5, rights.LEASE_S, 2.5)
    assert limiter.admit("misr", 10, 2.5).granted_count == 0


def test_lowered_burst_applies_to_tokens_already_gathered() -> None:
    borrower = rights.Borrower()
    ceiling = ceiling_lib.Ceiling(rate_limiter.LIMIT_CHANGE_OVERLAP_S)
    limiter = rate_limiter.AccountRateLimiter(borrower, ceiling)
    limiter.configure({"misr": api.Account(100, 50)}, 0.0)
    borrower.record_lease(_RESOURCE, "a", 0.0, rights.LEASE_S, 0.0)
    limiter.refill_all(0.0)
    limiter.refill_all(1.0)
    limiter.configure({"misr": api.Account(100, 5)}, 1.0)
    assert limiter.admit("misr", 50, 1.0).granted_count == 5


@given(
    units=st.integers(1, 50),
    ceiling=st.integers(1, 12),
    wanted_rights=st.lists(st.integers(0, 12), max_size=4),
)
@settings(derandomize=True, max_examples=300)
def test_apportioned_units_never_exceed_the_total(
    units: int, ceiling: int, wanted_rights: list[int]
) -> None:
    rights_left = ceiling
    total = 0
    for wanted in wanted_rights:
        held_right_count = min(wanted, rights_left)
        rights_left -= held_right_count
        total += rights.apportion(units, held_right_count, ceiling)
    total += rights.apportion(units, rights_left, ceiling)
    assert total <= units


@pytest.mark.parametrize("ceiling", [3, 7, 8])
def test_majority_holder_keeps_all_slots_when_one_lender_is_lost(
    ceiling: int,
) -> None:
    assert rights.apportion(2, ceiling - 1, ceiling) == 2

"""Decoding and validation of notes, and their application to a ledger."""

from __future__ import annotations

import json

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cassiahead_notes import api
from cassiahead_notes import codec
from cassiahead_notes import errors
from cassiahead_notes import ledger
from cassiahead_notes import note_application


def note_with_all_sections() -> api.Note:
    return api.Note(
        number=1,
        predecessor="",
        effective=1.0,
        title="first",
        add=api.Items(
            failure_domains={"d": api.FailureDomain()},
            accounts={"misr": api.Account(10, 5)},
            keys={"a" * 64: api.Key("misr")},
            targets={"t": api.Target("127.0.0.1:9000", "d", 2, 25)},
            layouts={"desk": api.Layout(1, {"s": ("t",)})},
            routes={"board": api.Route(api.RouteKind.SEARCH, "desk", 84)},
        ),
    )


def next_note(before: ledger.Ledger, effective_at: float, **fields) -> api.Note:  # noqa: ANN003
    return api.Note(
        before.number + 1, before.head, effective_at, "next", **fields
    )


def apply_to_ledger(
    before: ledger.Ledger, note: api.Note
) -> tuple[ledger.Ledger, ledger.Verdict]:
    text = codec.encode(note)
    record = ledger.NoteRecord(
        before.revision + 1, codec.text_digest(text), text
    )
    return before.apply_record(record)


def apply_refused_note(
    before: ledger.Ledger, note: api.Note
) -> errors.NoteError:
    """Applies a note that must be refused, and returns the error."""
    after, verdict = apply_to_ledger(before, note)
    assert verdict.error is not None
    assert attrs.evolve(after, revision=before.revision) == before
    return verdict.error


@pytest.mark.parametrize(
    ("section", "item", "expected_code", "expected_path_part"),
    [
        ("targets", api.Target("nowhere", "d", 1, 1), "CN06", ".address"),
        ("targets", api.Target("127.0.0.1:1", "x", 1, 1), "CN07", ".failure"),
        ("targets", api.Target("127.0.0.1:1", "d", 3, 2), "CN06", ".connect"),
        ("accounts", api.Account(float("inf"), 1), "CN06", ".rate_per_s"),
        ("accounts", api.Account(1, 0.5), "CN06", ".burst"),
        ("keys", api.Key("misr"), "CN06", "$.keys.new"),
        ("layouts", api.Layout(1, {"s": ("gone",)}), "CN07", ".shards.s"),
        ("layouts", api.Layout(1, {"s": ("t", "t")}), "CN06", ".shards.s"),
        (
            "routes",
            api.Route(api.RouteKind.LOOKUP, "gone", 10),
            "CN07",
            ".layout",
        ),
    ],
)
def test_invalid_item_is_refused_with_code_and_path(
    section: str, item: object, expected_code: str, expected_path_part: str
) -> None:
    before, _ = apply_to_ledger(ledger.Ledger(), note_with_all_sections())
    added = api.Items(**{section: {"new": item}})
    error = apply_refused_note(before, next_note(before, 2.0, add=added))
    assert error.code.value == expected_code
    assert expected_path_part in error.path


@pytest.mark.parametrize(
    ("changes", "expected_path_part"),
    [
        ({"nmber": 1}, "nmber"),
        ({"number": "one"}, "$.number"),
        ({"add": {"accounts": {"a": {"rate_per_s": 1}}}}, "$.add.accounts.a"),
        ({"add": {"accounts": {"a": []}}}, "$.add.accounts"),
    ],
)
def test_malformed_note_error_names_the_json_path(
    changes: dict[str, object], expected_path_part: str
) -> None:
    note_json = {
        **json.loads(codec.encode(note_with_all_sections())),
        **changes,
    }
    with pytest.raises(errors.NoteError) as raised:
        codec.decode(json.dumps(note_json), api.Note)
    assert raised.value.code is errors.NoteErrorCode.MALFORMED
    assert expected_path_part in str(raised.value)


@pytest.mark.parametrize("text", ["", "[]", "null", "{", "[" * 100_000])
def test_text_that_is_not_a_note_is_refused(text: str) -> None:
    with pytest.raises(errors.NoteError):
        codec.decode(text, api.Note)


def test_note_must_follow_the_last_accepted_one() -> None:
    before, _ = apply_to_ledger(ledger.Ledger(), note_with_all_sections())
    wrong_number = attrs.evolve(next_note(before, 2.0), number=3)
    wrong_predecessor = attrs.evolve(next_note(before, 2.0), predecessor="x")
    assert apply_refused_note(before, wrong_number).code.value == "CN02"
    assert apply_refused_note(before, wrong_predecessor).code.value == "CN03"


def test_note_effective_before_a_booked_change_of_its_item_is_refused() -> None:
    before, _ = apply_to_ledger(ledger.Ledger(), note_with_all_sections())
    booked_items = api.Items(accounts={"misr": api.Account(20, 5)})
    before, _ = apply_to_ledger(
        before, next_note(before, 100.0, change=booked_items)
    )
    earlier_change = api.Items(accounts={"misr": api.Account(30, 5)})
    error = apply_refused_note(
        before, next_note(before, 50.0, change=earlier_change)
    )
    assert error.code.value == "CN08"
    unrelated_change = api.Items(failure_domains={"d": api.FailureDomain(True)})
    after, verdict = apply_to_ledger(
        before, next_note(before, 50.0, change=unrelated_change)
    )
    assert verdict.error is None
    assert after.configuration_at(60.0).accounts["misr"].rate_per_s == 10
    assert after.configuration_at(100.0).accounts["misr"].rate_per_s == 20


def test_withdrawing_an_item_that_a_booked_note_refers_to_is_refused() -> None:
    before, _ = apply_to_ledger(ledger.Ledger(), note_with_all_sections())
    booked_items = api.Items(keys={"b" * 64: api.Key("misr")})
    before, _ = apply_to_ledger(
        before, next_note(before, 100.0, add=booked_items)
    )
    withdrawn_names = api.ItemNames(accounts=("misr",), keys=("a" * 64,))
    error = apply_refused_note(
        before, next_note(before, 50.0, withdraw=withdrawn_names)
    )
    assert error.code.value == "CN07"


def test_settled_ledger_gives_same_verdict_after_json_round_trip() -> None:
    settled, _ = apply_to_ledger(ledger.Ledger(), note_with_all_sections())
    settled, _ = apply_to_ledger(
        settled, next_note(settled, 10.0, settles=20.0)
    )
    assert settled.booked == ()
    decoded = codec.decode(codec.encode(settled), ledger.Ledger)
    assert decoded == settled
    note = next_note(settled, 15.0)
    assert str(apply_refused_note(settled, note)) == str(
        apply_refused_note(decoded, note)
    )
    assert apply_refused_note(settled, note).code.value == "CN08"


@given(
    effective=st.lists(st.floats(2.0, 50.0), min_size=1, max_size=6),
    wall_time=st.floats(0.0, 60.0),
)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_configuration_does_not_depend_on_the_order_of_booking(
    effective: list[float], wall_time: float
) -> None:
    current, _ = apply_to_ledger(ledger.Ledger(), note_with_all_sections())
    for number, effective_at in enumerate(effective):
        added = api.Items(accounts={f"a{number}": api.Account(1, 1)})
        current, verdict = apply_to_ledger(
            current, next_note(current, effective_at, add=added)
        )
        assert verdict.error is None
    expected = {
        f"a{n}"
        for n, effective_at in enumerate(effective)
        if effective_at <= wall_time
    }
    if wall_time >= 1.0:
        expected.add("misr")
    assert current.configuration_at(wall_time).accounts.keys() == expected


def test_applying_a_note_does_not_modify_the_configuration() -> None:
    before = api.Configuration()
    note_application.apply_note(before, note_with_all_sections())
    assert before == api.Configuration()


@given(
    sections=st.sets(st.sampled_from(api.SECTIONS)),
    invalid_section=st.sampled_from((None, *api.SECTIONS)),
)
@settings(derandomize=True, max_examples=150, deadline=None)
def test_incremental_validation_refuses_what_full_validation_refuses(
    sections: set[str], invalid_section: str | None
) -> None:
    initial = note_application.apply_note(
        api.Configuration(), note_with_all_sections()
    )
    withdrawn = {s: tuple(getattr(initial, s)) for s in sections}
    invalid_items = {
        "accounts": {"misr": api.Account(-1, 5)},
        "targets": {"t": api.Target("127.0.0.1:9000", "gone", 2, 25)},
        "layouts": {"desk": api.Layout(1, {"s": ("gone",)})},
    }
    changed_items = (
        {invalid_section: invalid_items[invalid_section]}
        if invalid_section in invalid_items
        else {}
    )
    note = api.Note(
        2,
        "",
        2.0,
        "random",
        change=api.Items(**changed_items),
        withdraw=api.ItemNames(
            **{s: n for s, n in withdrawn.items() if s not in changed_items}
        ),
    )
    items = {
        section: {
            name: changed_items.get(section, {}).get(name, item)
            for name, item in getattr(initial, section).items()
            if section not in sections or section in changed_items
        }
        for section in api.SECTIONS
    }
    try:
        note_application.validate(attrs.evolve(initial, **items))
    except errors.NoteError:
        with pytest.raises(errors.NoteError):
            note_application.apply_note(initial, note)
    else:
        note_application.apply_note(initial, note)

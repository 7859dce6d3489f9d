"""Notes are decoded, validated and folded alike everywhere."""

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
from cassiahead_notes import folding
from cassiahead_notes import ledger


def whole_note() -> api.Note:
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


def next_note(before: ledger.Ledger, effective: float, **parts) -> api.Note:  # noqa: ANN003
    return api.Note(before.number + 1, before.head, effective, "next", **parts)


def accept(
    before: ledger.Ledger, note: api.Note
) -> tuple[ledger.Ledger, ledger.Verdict]:
    text = codec.encode(note)
    record = ledger.NoteRecord(
        before.revision + 1, codec.text_digest(text), text
    )
    return before.apply_record(record)


def refusal(before: ledger.Ledger, note: api.Note) -> errors.NoteError:
    after, verdict = accept(before, note)
    assert verdict.error is not None
    assert attrs.evolve(after, revision=before.revision) == before
    return verdict.error


@pytest.mark.parametrize(
    ("section", "item", "code", "path"),
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
def test_bad_items_are_refused_with_code_and_path(
    section: str, item: object, code: str, path: str
) -> None:
    before, _ = accept(ledger.Ledger(), whole_note())
    entries = api.Items(**{section: {"new": item}})
    error = refusal(before, next_note(before, 2.0, add=entries))
    assert error.code.value == code
    assert path in error.path


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"nmber": 1}, "nmber"),
        ({"number": "one"}, "$.number"),
        ({"add": {"accounts": {"a": {"rate_per_s": 1}}}}, "$.add.accounts.a"),
        ({"add": {"accounts": {"a": []}}}, "$.add.accounts"),
    ],
)
def test_malformed_json_names_the_place(
    change: dict[str, object], path: str
) -> None:
    plain = {**json.loads(codec.encode(whole_note())), **change}
    with pytest.raises(errors.NoteError) as raised:
        codec.decode(json.dumps(plain), api.Note)
    assert raised.value.code is errors.NoteErrorCode.MALFORMED
    assert path in str(raised.value)


@pytest.mark.parametrize("text", ["", "[]", "null", "{", "[" * 100_000])
def test_text_that_is_no_note_is_refused(text: str) -> None:
    with pytest.raises(errors.NoteError):
        codec.decode(text, api.Note)


def test_note_must_follow_the_last_one() -> None:
    before, _ = accept(ledger.Ledger(), whole_note())
    wrong_number = attrs.evolve(next_note(before, 2.0), number=3)
    wrong_head = attrs.evolve(next_note(before, 2.0), predecessor="x")
    assert refusal(before, wrong_number).code.value == "CN02"
    assert refusal(before, wrong_head).code.value == "CN03"


def test_booked_change_is_not_undercut_by_a_later_note() -> None:
    before, _ = accept(ledger.Ledger(), whole_note())
    booked = api.Items(accounts={"misr": api.Account(20, 5)})
    before, _ = accept(before, next_note(before, 100.0, change=booked))
    urgent = api.Items(accounts={"misr": api.Account(30, 5)})
    error = refusal(before, next_note(before, 50.0, change=urgent))
    assert error.code.value == "CN08"
    other = api.Items(failure_domains={"d": api.FailureDomain(True)})
    after, verdict = accept(before, next_note(before, 50.0, change=other))
    assert verdict.error is None
    assert after.configuration_at(60.0).accounts["misr"].rate_per_s == 10
    assert after.configuration_at(100.0).accounts["misr"].rate_per_s == 20


def test_withdrawing_what_a_booked_note_needs_is_refused() -> None:
    before, _ = accept(ledger.Ledger(), whole_note())
    booked = api.Items(keys={"b" * 64: api.Key("misr")})
    before, _ = accept(before, next_note(before, 100.0, add=booked))
    names = api.ItemNames(accounts=("misr",), keys=("a" * 64,))
    error = refusal(before, next_note(before, 50.0, withdraw=names))
    assert error.code.value == "CN07"


def test_settled_ledger_decides_as_the_long_one() -> None:
    long, _ = accept(ledger.Ledger(), whole_note())
    long, _ = accept(long, next_note(long, 10.0, settles=20.0))
    assert long.booked == ()
    copied = codec.decode(codec.encode(long), ledger.Ledger)
    assert copied == long
    note = next_note(long, 15.0)
    assert str(refusal(long, note)) == str(refusal(copied, note))
    assert refusal(long, note).code.value == "CN08"


@given(
    effective=st.lists(st.floats(2.0, 50.0), min_size=1, max_size=6),
    at=st.floats(0.0, 60.0),
)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_order_of_effect_does_not_depend_on_order_of_booking(
    effective: list[float], at: float
) -> None:
    book, _ = accept(ledger.Ledger(), whole_note())
    for number, time in enumerate(effective):
        entries = api.Items(accounts={f"a{number}": api.Account(1, 1)})
        book, verdict = accept(book, next_note(book, time, add=entries))
        assert verdict.error is None
    expected = {f"a{n}" for n, time in enumerate(effective) if time <= at}
    if at >= 1.0:
        expected.add("misr")
    assert book.configuration_at(at).accounts.keys() == expected


def test_fold_leaves_its_argument_alone() -> None:
    before = api.Configuration()
    folding.fold(before, whole_note())
    assert before == api.Configuration()


@given(
    sections=st.sets(st.sampled_from(api.SECTIONS)),
    broken=st.sampled_from((None, *api.SECTIONS)),
)
@settings(derandomize=True, max_examples=150, deadline=None)
def test_checking_the_change_finds_what_a_whole_check_finds(
    sections: set[str], broken: str | None
) -> None:
    start = folding.fold(api.Configuration(), whole_note())
    withdrawn = {s: tuple(getattr(start, s)) for s in sections}
    bad = {
        "accounts": {"misr": api.Account(-1, 5)},
        "targets": {"t": api.Target("127.0.0.1:9000", "gone", 2, 25)},
        "layouts": {"desk": api.Layout(1, {"s": ("gone",)})},
    }
    changed = {broken: bad[broken]} if broken in bad else {}
    note = api.Note(
        2,
        "",
        2.0,
        "random",
        change=api.Items(**changed),
        withdraw=api.ItemNames(
            **{s: n for s, n in withdrawn.items() if s not in changed}
        ),
    )
    items = {
        section: {
            name: changed.get(section, {}).get(name, item)
            for name, item in getattr(start, section).items()
            if section not in sections or section in changed
        }
        for section in api.SECTIONS
    }
    try:
        folding.validate(attrs.evolve(start, **items))
    except errors.NoteError:
        with pytest.raises(errors.NoteError):
            folding.fold(start, note)
    else:
        folding.fold(start, note)

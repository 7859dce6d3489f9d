"""What is believed of configuration and targets."""

from __future__ import annotations

from cassiahead_gateway import api
from cassiahead_gateway import catalogue
from cassiahead_gateway import decoded_records
from cassiahead_gateway import records


class _World:
    """A catalogue over records that a table decodes."""

    def __init__(self) -> None:
        self.table: dict[str, decoded_records.DecodedRecord] = {}
        self.gone: list[str] = []
        self.versions: list[int] = []
        self.catalogue = catalogue.Catalogue(
            lambda _key, value: self.table[value],
            lambda c: self.versions.append(c.version),
            self.gone.append,
        )

    def put(
        self,
        key: str,
        revision: int,
        found: decoded_records.DecodedRecord | None,
        now: float,
    ) -> None:
        value = None
        if found is not None:
            value = f"{key}@{revision}"
            self.table[value] = found
        change = records.Change(key, revision, value)
        self.catalogue.apply(
            records.Update(revision, (change,)), 0.0, "test", now
        )

    def ids(self, service: str = "s") -> list[str]:
        return sorted(t.id for t in self.catalogue.available_targets(service))


def _target(
    name: str,
    *,
    domain: str = "d1",
    leaving: bool = False,
    cold_s: float = 0.0,
    born: int = 1,
) -> decoded_records.TargetRecord:
    return decoded_records.TargetRecord(
        api.Target(name, "s", "10.0.0.1:80", domain, 2, leaving, cold_s, born)
    )


def _configuration(version: int) -> decoded_records.ConfigurationRecord:
    return decoded_records.ConfigurationRecord(api.Configuration(version))


def test_a_version_never_goes_back() -> None:
    world = _World()
    world.put("c", 1, _configuration(7), 0.0)
    world.put("c", 2, _configuration(3), 1.0)
    assert world.catalogue.configuration_version == 7
    world.put("c", 3, decoded_records.UnusableRecord("broken"), 2.0)
    assert world.catalogue.configuration_version == 7
    world.put("c", 4, None, 3.0)
    assert world.catalogue.configuration_version == 7
    assert world.versions == [7]


def test_leaving_targets_and_domains_taken_out_get_nothing_new() -> None:
    world = _World()
    world.put("t1", 1, _target("t1"), 0.0)
    world.put("t2", 2, _target("t2", domain="d2"), 0.0)
    assert world.ids() == ["t1", "t2"]
    world.put("out", 3, decoded_records.DomainTakenOutRecord("d2"), 0.1)
    assert world.ids() == ["t1"]
    world.put("t1", 4, _target("t1", leaving=True), 0.2)
    assert world.ids() == []
    world.put("out", 5, None, 0.3)
    assert world.ids() == ["t2"]
    assert world.gone == []


def test_a_deleted_target_is_gone_at_once_while_the_service_is_there() -> None:
    world = _World()
    world.put("t1", 1, _target("t1"), 0.0)
    world.put("t1", 2, None, 1.0)
    assert world.ids() == []
    assert world.gone == ["t1"]


def test_an_unusable_entry_names_no_target() -> None:
    world = _World()
    world.put("t1", 1, _target("t1"), 0.0)
    world.put("t2", 2, _target("t2"), 0.0)
    world.put("t1", 3, decoded_records.UnusableRecord("no address"), 0.1)
    assert world.ids() == ["t2"]


def test_entries_that_lapsed_in_an_outage_are_kept_for_two_seconds() -> None:
    world = _World()
    world.put("t1", 1, _target("t1"), 0.0)
    world.put("t2", 2, _target("t2"), 0.0)
    # Nobody could read for 8 s; both entries are found deleted.
    world.put("t1", 3, None, 8.0)
    world.put("t2", 4, None, 8.1)
    assert world.ids() == ["t1", "t2"]
    world.put("t1", 5, _target("t1"), 9.5)
    world.catalogue.forget_expired(10.1)
    assert world.ids() == ["t1", "t2"]
    world.catalogue.forget_expired(10.3)
    assert world.ids() == ["t1"]
    assert world.gone == ["t2"]
    # Later deletions mean what they say.
    world.put("t1", 6, None, 10.5)
    assert world.ids() == []


def test_a_target_that_is_reborn_is_another_one() -> None:
    world = _World()
    world.put("t1", 1, _target("t1", born=1), 0.0)
    world.put("t1", 2, _target("t1", born=2, cold_s=3.0), 1.0)
    assert world.gone == ["t1"]
    assert world.ids() == ["t1"]
    assert world.catalogue.is_cold("t1", 3.9)
    assert not world.catalogue.is_cold("t1", 4.1)


def test_a_target_may_turn_cold_again() -> None:
    world = _World()
    world.put("t1", 1, _target("t1"), 0.0)
    world.put("t1", 2, _target("t1", cold_s=2.0), 5.0)
    assert world.catalogue.is_cold("t1", 6.9)
    assert world.gone == []


def test_age_counts_from_the_read_that_is_included() -> None:
    world = _World()
    world.put("c", 5, _configuration(1), 10.0)
    world.catalogue.confirm(5, 0.5, 12.0)
    assert world.catalogue.age_s(12.0) == 0.5
    # What is newer than the records at hand confirms nothing.
    world.catalogue.confirm(6, 0.0, 13.0)
    assert world.catalogue.age_s(13.0) == 1.5

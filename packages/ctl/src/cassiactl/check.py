"""The subcommand ``check``."""

from __future__ import annotations

import pathlib
import time
from typing import Annotated
from typing import Any

import attrs
import cappa

from cassiactl import output
from cassiahead_notes import api
from cassiahead_notes import capacity
from cassiahead_notes import codec
from cassiahead_notes import configuration_diff
from cassiahead_notes import errors
from cassiahead_notes import kv_records
from cassiahead_notes import ledger

__all__ = ["Check"]


@cappa.command(
    name="check",
    help=(
        "Checks a release note against those published, and shows what it "
        "would change and what load that leaves. Exit code 1 if refused."
    ),
)
@attrs.frozen
class Check:
    """Arguments of the subcommand."""

    note: Annotated[pathlib.Path, cappa.Arg(help="File with the release note.")]
    published: Annotated[
        list[pathlib.Path],
        cappa.Arg(
            long=True,
            help="File of a published note; repeat in order of publication.",
        ),
    ] = attrs.field(factory=list)
    platform: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            help="Address of the configuration service to read notes from.",
        ),
    ] = None
    prefix: Annotated[
        str, cappa.Arg(long=True, help="Key prefix of the notes there.")
    ] = "cassiahead"
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> int:
        """Prints the verdict, the changes and their consequence."""
        try:
            before = self._published()
            after, note = _accept(before, self.note, before.revision + 1)
        except FileNotFoundError as error:
            return output.fail(
                f"{error.filename}: {error.strerror}", output.ExitCode.USAGE
            )
        except OSError as error:
            return output.fail(str(error), output.ExitCode.UNREACHABLE)
        except _RefusalError as refusal:
            if self.json:
                output.print_json(
                    {"accepted": False, "error": str(refusal.error)}
                )
            return output.fail(str(refusal), output.ExitCode.REFUSED)
        at = max(note.effective, time.time())
        self._show(before.configuration_at(at), after, note, at)
        return output.ExitCode.OK

    def _published(self) -> ledger.Ledger:
        if self.platform is None:
            return _read_all(self.published)
        entries = output.fetch(
            self.platform, f"/v1/kv/{self.prefix}/notes/?recurse=true"
        )
        whole = ledger.Ledger()
        for record in kv_records.parse_records(entries or []):
            whole, _ = whole.apply_record(record)
        return whole

    def _show(
        self,
        before: api.Configuration,
        after: ledger.Ledger,
        note: api.Note,
        at: float,
    ) -> None:
        changes = configuration_diff.diff(before, after.configuration_at(at))
        loads = capacity.layout_capacities(before, after.configuration_at(at))
        if self.json:
            output.print_json(_as_json(note, after, changes, loads))
            return
        output.print_line(
            f"accepted: note {note.number}, digest {after.head}, "
            f"effective {note.effective}"
        )
        for change in changes:
            output.print_line(f"  {change.kind} {change.path}")
        for load in loads:
            output.print_line(
                f"  layout {load.layout}: {load.slots_before} -> "
                f"{load.slots_after} slots; fewest replicas of a shard "
                f"{load.fewest_replicas}"
            )


@attrs.frozen
class _RefusalError(Exception):
    path: pathlib.Path
    error: errors.NoteError

    def __str__(self) -> str:
        return f"{self.path}: refused: {self.error}"


def _read_all(paths: list[pathlib.Path]) -> ledger.Ledger:
    whole = ledger.Ledger()
    for revision, path in enumerate(paths, start=1):
        whole, _ = _accept(whole, path, revision)
    return whole


def _accept(
    before: ledger.Ledger, path: pathlib.Path, revision: int
) -> tuple[ledger.Ledger, api.Note]:
    text = path.read_text()
    record = ledger.NoteRecord(revision, codec.text_digest(text), text)
    after, verdict = before.apply_record(record)
    if verdict.error is not None:
        raise _RefusalError(path, verdict.error)
    return after, ledger.decode_record(record)


def _as_json(
    note: api.Note,
    after: ledger.Ledger,
    changes: list[configuration_diff.Change],
    loads: list[capacity.LayoutCapacity],
) -> dict[str, Any]:
    return {
        "accepted": True,
        "number": note.number,
        "digest": after.head,
        "effective": note.effective,
        "changes": [attrs.asdict(change) for change in changes],
        "loads": [attrs.asdict(load) for load in loads],
    }

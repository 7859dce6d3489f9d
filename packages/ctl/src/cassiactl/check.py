"""The subcommand ``check``, which validates a release note in advance."""

from __future__ import annotations

import pathlib
import time
from typing import Annotated
from typing import Any

import attrs
import cappa

from cassiactl import arguments
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
        "Checks a release note against those published, and shows which "
        "items it would change and the capacity of each layout before and "
        "after. Exit code 1 if the note is refused."
    ),
)
@attrs.frozen
class Check:
    """Arguments of the subcommand ``check``."""

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
            help=(
                "Address of the configuration service to read the published "
                "notes from, instead of files."
            ),
        ),
    ] = None
    prefix: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Key prefix of the notes in the configuration service.",
        ),
    ] = "cassiahead"
    json: arguments.JsonFlag = False

    def __call__(self) -> int:
        """Prints the verdict, the changes and the capacity of each layout.

        The configurations with and without the note are compared as of the time
        when the note becomes effective, or as of now if that time has passed.
        """
        try:
            ledger_before = self._replay_published()
            ledger_after, note = _accept(
                ledger_before, self.note, ledger_before.revision + 1
            )
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
        compared_at = max(note.effective, time.time())
        self._print_acceptance(
            ledger_before.configuration_at(compared_at),
            ledger_after,
            note,
            compared_at,
        )
        return output.ExitCode.OK

    def _replay_published(self) -> ledger.Ledger:
        if self.platform is None:
            return _replay_files(self.published)
        items = output.fetch(
            self.platform, f"/v1/kv/{self.prefix}/notes/?recurse=true"
        )
        replayed = ledger.Ledger()
        for record in kv_records.parse_records(items or []):
            replayed, _ = replayed.apply_record(record)
        return replayed

    def _print_acceptance(
        self,
        configuration_before: api.Configuration,
        ledger_after: ledger.Ledger,
        note: api.Note,
        compared_at: float,
    ) -> None:
        changes = configuration_diff.diff(
            configuration_before, ledger_after.configuration_at(compared_at)
        )
        capacities = capacity.layout_capacities(
            configuration_before, ledger_after.configuration_at(compared_at)
        )
        if self.json:
            output.print_json(
                _acceptance_document(note, ledger_after, changes, capacities)
            )
            return
        output.print_line(
            f"accepted: note {note.number}, digest {ledger_after.head}, "
            f"effective {note.effective}"
        )
        for change in changes:
            output.print_line(f"  {change.kind} {change.path}")
        for layout_capacity in capacities:
            output.print_line(
                f"  layout {layout_capacity.layout}: "
                f"{layout_capacity.slots_before} -> "
                f"{layout_capacity.slots_after} slots; "
                f"fewest replicas of a shard {layout_capacity.fewest_replicas}"
            )


@attrs.frozen
class _RefusalError(Exception):
    path: pathlib.Path
    error: errors.NoteError

    def __str__(self) -> str:
        return f"{self.path}: refused: {self.error}"


def _replay_files(paths: list[pathlib.Path]) -> ledger.Ledger:
    replayed = ledger.Ledger()
    for revision, path in enumerate(paths, start=1):
        replayed, _ = _accept(replayed, path, revision)
    return replayed


def _accept(
    ledger_before: ledger.Ledger, path: pathlib.Path, revision: int
) -> tuple[ledger.Ledger, api.Note]:
    text = path.read_text()
    record = ledger.NoteRecord(revision, codec.text_digest(text), text)
    ledger_after, verdict = ledger_before.apply_record(record)
    if verdict.error is not None:
        raise _RefusalError(path, verdict.error)
    return ledger_after, ledger.decode_record(record)


def _acceptance_document(
    note: api.Note,
    ledger_after: ledger.Ledger,
    changes: list[configuration_diff.Change],
    capacities: list[capacity.LayoutCapacity],
) -> dict[str, Any]:
    return {
        "accepted": True,
        "number": note.number,
        "digest": ledger_after.head,
        "effective": note.effective,
        "changes": [attrs.asdict(change) for change in changes],
        "loads": [
            attrs.asdict(layout_capacity) for layout_capacity in capacities
        ],
    }

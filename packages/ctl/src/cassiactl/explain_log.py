"""The subcommand ``explain-log``."""

from __future__ import annotations

import pathlib
from typing import Annotated

import attrs
import cappa

from cassiactl import output
from cassiactl import request_timeline

__all__ = ["ExplainLog"]

_MOST_AROUND = 40


@cappa.command(
    name="explain-log",
    help=(
        "Shows from gateways' logs what happened to one request, and what "
        "happened to its targets and its host just before."
    ),
)
@attrs.frozen
class ExplainLog:
    """Arguments of the subcommand."""

    request_id: Annotated[
        str, cappa.Arg(help="Identifier that the caller sent.")
    ]
    logs: Annotated[
        list[pathlib.Path],
        cappa.Arg(help="Logs of any number of hosts, one file each."),
    ]

    def __call__(self) -> int:
        """Prints the request's lines, the outcome, and what may explain it."""
        lines: list[request_timeline.Line] = []
        for path in self.logs:
            try:
                text = path.read_text(errors="replace")
            except OSError as error:
                return output.fail(
                    f"{path}: {error.strerror}", output.ExitCode.USAGE
                )
            read, unusable = request_timeline.read_lines(path.stem, text)
            lines += read
            if unusable:
                output.print_line(f"{path}: {unusable} lines are no events")
        story = request_timeline.Story.from_lines(lines, self.request_id)
        if not story.own:
            return output.fail(
                f"no line on {self.request_id}: it reached no gateway whose "
                "log this is, or its ordinary lines were sampled out",
                output.ExitCode.REFUSED,
            )
        _print(story)
        return output.ExitCode.OK


def _print(story: request_timeline.Story) -> None:
    origin = story.own[0].at
    for line in story.own:
        output.print_line(line.text(origin))
    end = story.outcome()
    if end is None:
        output.print_line("outcome: not in these logs")
    else:
        status = end.fields["status"]
        detail = end.fields.get("detail", "answered")
        output.print_line(f"outcome: {end.name} {status}: {detail}")
    for (service, how), number in sorted(story.others.items()):
        output.print_line(f"other requests at {service}: {number} x {how}")
    if not story.around:
        output.print_line("around it: nothing on its targets or its host")
        return
    output.print_line("around it:")
    for line in story.around[-_MOST_AROUND:]:
        output.print_line(line.text(origin))
    left_out = len(story.around) - _MOST_AROUND
    if left_out > 0:
        output.print_line(f"({left_out} earlier lines left out)")

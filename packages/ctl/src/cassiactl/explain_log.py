"""The subcommand ``explain-log``."""

from __future__ import annotations

import pathlib
from typing import Annotated

import attrs
import cappa

from cassiactl import output
from cassiactl import request_timeline
from cassiactl import wait_summary

__all__ = ["ExplainLog"]

_MAX_CONTEXT_LINES = 40


@cappa.command(
    name="explain-log",
    help=(
        "Shows the course of one request from the logs of gateways, and events "
        "about its targets and hosts shortly before and during the request."
    ),
)
@attrs.frozen
class ExplainLog:
    """Arguments of the subcommand ``explain-log``."""

    request_id: Annotated[
        str, cappa.Arg(help="Request id that the caller sent.")
    ]
    logs: Annotated[
        list[pathlib.Path],
        cappa.Arg(help="Logs of any number of hosts, one file each."),
    ]

    def __call__(self) -> int:
        """Prints the request's events, its outcome, and related events.

        If the request waited for capacity, also prints why and for how long.

        For a refusal by route or key, also prints which hosts read the
        configuration service and which had a newer configuration. For a
        request that the admission level left out, prints the levels of its
        destination and the load that they follow from.
        """
        lines: list[request_timeline.LogLine] = []
        for path in self.logs:
            try:
                text = path.read_text(errors="replace")
            except OSError as error:
                return output.fail(
                    f"{path}: {error.strerror}", output.ExitCode.USAGE
                )
            parsed_lines, unusable_line_count = request_timeline.read_lines(
                path.stem, text
            )
            lines += parsed_lines
            if unusable_line_count:
                output.print_line(
                    f"{path}: {unusable_line_count} lines are not events"
                )
        timeline = request_timeline.RequestTimeline.from_lines(
            lines, self.request_id
        )
        if not timeline.request_lines:
            return output.fail(
                f"no event about {self.request_id}: the request reached none "
                "of these gateways, or its ordinary events were sampled out",
                output.ExitCode.REFUSED,
            )
        _print_timeline(timeline)
        return output.ExitCode.OK


def _print_timeline(timeline: request_timeline.RequestTimeline) -> None:
    origin_at = timeline.request_lines[0].logged_at
    for line in timeline.request_lines:
        output.print_line(line.format(origin_at))
    final_line = timeline.outcome()
    if final_line is None:
        output.print_line("outcome: not in these logs")
    else:
        status = final_line.fields["status"]
        detail = final_line.fields.get("detail", "answered")
        output.print_line(
            f"outcome: {final_line.event_name} {status}: {detail}"
        )
    for sentence in wait_summary.summarize_waits(timeline.request_lines):
        output.print_line(f"capacity: {sentence}")
    for (service, result), count in sorted(
        timeline.other_attempt_counts.items()
    ):
        output.print_line(f"other requests at {service}: {count} x {result}")
    if timeline.fleet_lines:
        output.print_line("readers and newer configurations of all hosts:")
    for line in timeline.fleet_lines:
        output.print_line(line.format(origin_at))
    if timeline.level_lines:
        output.print_line("admission levels of all hosts, and their inputs:")
    for line in timeline.level_lines:
        output.print_line(line.format(origin_at))
    if not timeline.context_lines:
        output.print_line(
            "related events: none about the request's targets or hosts"
        )
        return
    output.print_line("related events:")
    for line in timeline.context_lines[-_MAX_CONTEXT_LINES:]:
        output.print_line(line.format(origin_at))
    omitted_count = len(timeline.context_lines) - _MAX_CONTEXT_LINES
    if omitted_count > 0:
        output.print_line(f"({omitted_count} earlier events omitted)")

"""Numbered log events and their format, one JSON object per line."""

from __future__ import annotations

import enum
import json
import logging
import sys
from typing import Any

from cassiahead_telemetry import log_handler

__all__ = [
    "Event",
    "JsonFormatter",
    "configure_stdout_logging",
    "configure_stderr_logging",
    "log",
]

_LOGGER = logging.getLogger("cassiahead")


class Event(enum.Enum):
    """Log events, each with its number and log level; see docs/EVENTS.md."""

    STARTED = (100, logging.INFO)
    READY = (101, logging.INFO)
    UNREADY = (102, logging.WARNING)
    DRAINING = (103, logging.INFO)
    STOPPED = (104, logging.INFO)
    PAUSED = (105, logging.WARNING)
    SUPERSEDED = (106, logging.ERROR)
    CEILING_EXCEEDED = (107, logging.ERROR)
    LOG_LINES_LEFT_OUT = (108, logging.WARNING)
    RELOADED = (109, logging.INFO)
    SETTINGS_UNUSABLE = (110, logging.ERROR)
    EVENT_LOOP_SLOW = (111, logging.WARNING)
    NOTE_ACCEPTED = (200, logging.INFO)
    NOTE_REFUSED = (201, logging.WARNING)
    CONFIGURATION_IN_FORCE = (202, logging.INFO)
    BASE_TAKEN = (203, logging.INFO)
    SERVICE_UNREADABLE = (204, logging.WARNING)
    SERVICE_STALE = (205, logging.WARNING)
    LEDGER_CONFLICT = (206, logging.ERROR)
    CONFIGURATION_APPLIED = (210, logging.INFO)
    RECORD_UNUSABLE = (211, logging.WARNING)
    TARGET_APPEARED = (212, logging.INFO)
    TARGET_LEAVING = (213, logging.INFO)
    TARGET_GONE = (214, logging.INFO)
    TARGET_LINGERS = (215, logging.INFO)
    DOMAIN_TAKEN_OUT = (216, logging.WARNING)
    DOMAIN_RETURNED = (217, logging.INFO)
    TARGETS_BAD = (218, logging.WARNING)
    TARGETS_GOOD = (219, logging.INFO)
    READING_BEGUN = (220, logging.INFO)
    READING_ENDED = (221, logging.INFO)
    READ_FAILED = (222, logging.WARNING)
    SERVICE_RETURNED = (223, logging.INFO)
    ERA_ENTERED = (224, logging.WARNING)
    TARGET_WITHHELD = (225, logging.WARNING)
    DOMAIN_HELD_OUT = (226, logging.WARNING)
    HOME_TAKEN = (300, logging.INFO)
    HOME_LEFT = (301, logging.INFO)
    PEER_SUSPECTED = (302, logging.WARNING)
    RELAY_QUIET = (303, logging.WARNING)
    RELAY_HEARD = (304, logging.INFO)
    PEER_HEARD = (310, logging.INFO)
    PEER_REPLACED = (311, logging.INFO)
    PEER_LOST = (312, logging.WARNING)
    HEARTBEATS_FAILED = (313, logging.WARNING)
    ROUTED = (400, logging.INFO)
    HEDGED = (401, logging.INFO)
    RETRIED = (402, logging.INFO)
    ANSWERED = (403, logging.INFO)
    REFUSED = (404, logging.INFO)
    ANSWER_DISCARDED = (405, logging.WARNING)
    KEY_DECIDED = (406, logging.INFO)
    KEY_WITHDRAWN = (407, logging.INFO)
    OVERLOADED = (408, logging.INFO)
    REQUEST_ANSWERED = (420, logging.INFO)
    REQUEST_REFUSED = (421, logging.INFO)
    REQUEST_FAILED = (422, logging.WARNING)
    REQUEST_CANCELLED = (423, logging.INFO)
    ATTEMPT_FAILED = (424, logging.INFO)
    ATTEMPT_ADDED = (425, logging.INFO)
    CALLERS_REFUSED = (430, logging.WARNING)
    ADMISSION_LEVEL = (431, logging.WARNING)
    REQUEST_WAITED = (440, logging.INFO)
    REQUEST_NOT_STARTED = (441, logging.INFO)
    TARGET_COLD = (500, logging.WARNING)
    TARGET_FAILED = (501, logging.WARNING)
    CONNECTION_SILENT = (502, logging.WARNING)
    REQUEST_CRASHED_TARGET = (503, logging.WARNING)
    TARGET_ANNOUNCED_LEAVING = (504, logging.INFO)
    TARGET_SENT_RETRY_AFTER = (505, logging.INFO)
    RAMP_UP_BEGUN = (506, logging.INFO)
    RAMP_UP_ENDED = (507, logging.INFO)
    RAMP_UP_HALVED = (508, logging.INFO)
    TARGET_CHECKED = (510, logging.INFO)
    INNER_MESSAGE_MALFORMED = (600, logging.WARNING)
    INVARIANT_VIOLATED = (900, logging.CRITICAL)
    INTERNAL_ERROR = (901, logging.ERROR)

    @property
    def number(self) -> int:
        """Event number, which stays the same across releases."""
        return self.value[0]


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Formats a log record.

        Returns:
            The JSON object, without a line end: time in seconds since the
            epoch, level, event number (0 for records that are not events),
            event name, the event's own fields, and a traceback if there is one.
        """
        fields = getattr(record, "fields", None)
        line: dict[str, Any] = {
            "at": round(record.created, 4),
            "level": record.levelname,
            "event": getattr(record, "event", 0),
            "name": record.getMessage(),
        }
        if fields:
            line.update(fields)
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_stderr_logging(level: str) -> None:
    """Sends all log records to standard error as JSON lines.

    Writes may block. Records of tornado's access log below the level
    ``CRITICAL`` are left out.

    Args:
        level: Name of the lowest log level that is written.
    """
    _install_handler(logging.StreamHandler(), level)
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)


def configure_stdout_logging(level: str) -> log_handler.BoundedStreamHandler:
    """Sends all log records to standard output as JSON lines, without blocking.

    Args:
        level: Name of the lowest log level that is written.

    Returns:
        The handler, which writes nothing until the caller flushes it.
    """
    handler = log_handler.BoundedStreamHandler(sys.stdout.fileno())
    _install_handler(handler, level)
    # Peers cause these lines at any rate.
    handler.addFilter(_mark_foreign_records)
    logging.getLogger("tornado.general").setLevel(logging.WARNING)
    return handler


def log(
    event: Event,
    exc_info: BaseException | None = None,
    ordinary: bool = False,
    **fields: Any,  # noqa: ANN401
) -> None:
    """Logs an event with its fields.

    Args:
        event: The event.
        exc_info: Exception whose traceback is added to the line.
        ordinary: Whether the event is expected in normal operation, so that a
            ``BoundedStreamHandler`` limits the rate of its lines.
        **fields: Fields of the event, as listed in docs/EVENTS.md.
    """
    number, level = event.value
    if _LOGGER.isEnabledFor(level):
        _LOGGER.log(
            level,
            event.name,
            exc_info=exc_info,
            extra={
                "event": number,
                "fields": fields,
                "ordinary": ordinary,
            },
        )


def _mark_foreign_records(record: logging.LogRecord) -> bool:
    """Marks records of libraries as ordinary, which limits their rate."""
    if record.name != _LOGGER.name:
        record.ordinary = True
    return True


def _install_handler(handler: logging.Handler, level: str) -> None:
    """Makes a handler with JSON lines the only one of the root logger."""
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)

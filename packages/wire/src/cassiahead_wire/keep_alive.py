"""Parsing of the keep-alive time that a peer announces."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tornado import httputil

__all__ = ["parse_idle_limit_s"]

# An idle connection is not reused near the end of the keep-alive time that its
# peer announced, since the peer may close it while a request is on its way. The
# margin is a fraction of that time because a peer may announce as little as
# 1 s.
_IDLE_MARGIN_FRACTION = 0.2
_MAX_IDLE_MARGIN_S = 0.5
# Times with more digits are ignored, like those that are no whole numbers.
_TIMEOUT_PATTERN = re.compile(r"[0-9]{1,9}")


def parse_idle_limit_s(headers: httputil.HTTPHeaders) -> float:
    """Returns for how many seconds an idle connection may be reused.

    This is the timeout in the ``Keep-Alive`` header less a safety margin;
    infinite if the peer announced none.
    """
    if "Keep-Alive" not in headers:
        return math.inf
    for parameter in headers["Keep-Alive"].split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and _TIMEOUT_PATTERN.fullmatch(value):
            margin_s = min(
                _MAX_IDLE_MARGIN_S, _IDLE_MARGIN_FRACTION * int(value)
            )
            return int(value) - margin_s
    return math.inf

"""How long before the latency objective a merged answer must be sent.

Load pattern: searches over many shards of which nearly always one is slow, so
that most answers are sent at the last moment. Hosts differ in speed: on a slow
one, timers fire late and merging takes longer.
"""

from __future__ import annotations

import collections

import attrs

__all__ = ["ReplyMargin"]

# Time on the network that the caller counts and this process does not: the
# connect, the request and the reply, at 3 ms one way.
_NETWORK_S = 0.012
# Assumed until enough replies have been measured.
_INITIAL_PROCESSING_S = 0.003
# Longest processing time that is allowed for. More would leave out parts that
# could still be in time, on a host that is stalled now and then.
_MAX_PROCESSING_S = 0.03
_SAMPLE_COUNT = 64
_MIN_SAMPLE_COUNT = 8
# Fraction of the answers that must be sent in time.
_QUANTILE = 0.9


@attrs.define
class ReplyMargin:
    """Learns how long this process needs to send an answer that is due.

    All times are in seconds.
    """

    _delays_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=_SAMPLE_COUNT)
    )
    _processing_s: float = _INITIAL_PROCESSING_S

    @property
    def margin_s(self) -> float:
        """Time from the soft deadline of an answer to its latency objective."""
        return _NETWORK_S + self._processing_s

    def record(self, delay_s: float) -> None:
        """Records how long after its soft deadline an answer was ready.

        Args:
            delay_s: Delay of the timer and time to merge the parts. The time to
                write the reply is not included.
        """
        self._delays_s.append(max(0.0, delay_s))
        if len(self._delays_s) < _MIN_SAMPLE_COUNT:
            return
        delays_s = sorted(self._delays_s)
        quantile_s = delays_s[int(_QUANTILE * (len(delays_s) - 1))]
        self._processing_s = min(_MAX_PROCESSING_S, quantile_s)

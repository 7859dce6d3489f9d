"""Sampling of the requests of accounts that are far above their rate.

With random refusals, the retry of a refused caller would take the token of
another caller, which would retry in turn: many callers would be served late,
and few at their first attempt. Requests are therefore sampled by a hash of
their content. All hosts refuse the same requests, including their retries, and
the tokens go to callers that were never refused.

Load pattern: one account sends several times its rate for seconds, and each
refused caller retries once.
"""

from __future__ import annotations

import math

import attrs

__all__ = ["EPOCH_S", "SamplePoint", "Sampler"]

# Period after which a new sample is drawn, so that no request is refused for
# ever; long compared with the time after which callers retry.
EPOCH_S = 10.0
# Hexadecimal digits of a fingerprint that set the position.
_POSITION_DIGIT_COUNT = 8
# Shift of all positions from one sample to the next: the fractional part of the
# golden ratio, for which successive samples overlap least.
_SHIFT_PER_EPOCH = (math.sqrt(5) - 1) / 2
# Desired fill of the bucket, as a fraction of the burst. The admitted fraction
# is adjusted to reach this fill, which leaves tokens for simultaneous requests.
_FILL_SETPOINT_FRACTION = 0.4
# Fill of the bucket at and above which no request is sampled out.
_ADMIT_ALL_FILL_FRACTION = 0.8
# Relative change of the admitted fraction per second and unit of fill error.
_GAIN_PER_S = 0.5
# Lower bound of the admitted fraction, so that a longer overload does not
# lengthen the recovery.
_MIN_ADMITTED_FRACTION = 0.02
# Longest time that one update of the admitted fraction accounts for.
_MAX_UPDATE_STEP_S = 0.5


@attrs.frozen
class SamplePoint:
    """Position of a request in the samples of its account.

    Attributes:
        position: From 0 to below 1; the same at all hosts and for all retries
            in one epoch.
        next_draw_in_s: Seconds until the next epoch, when the position changes.
    """

    position: float
    next_draw_in_s: float

    @classmethod
    def from_fingerprint(
        cls, fingerprint: str, unix_time_s: float
    ) -> SamplePoint:
        """Computes the position of a request in the current epoch.

        Args:
            fingerprint: Hexadecimal digest of the request's content.
            unix_time_s: Seconds since 1970. Hosts with different clocks
                disagree only around the start of an epoch.
        """
        epoch_number, elapsed_s = divmod(unix_time_s, EPOCH_S)
        initial_position = (
            int(fingerprint[:_POSITION_DIGIT_COUNT], 16)
            / 16**_POSITION_DIGIT_COUNT
        )
        return cls(
            (initial_position + _SHIFT_PER_EPOCH * epoch_number) % 1.0,
            EPOCH_S - elapsed_s,
        )


@attrs.define
class Sampler:
    """Controls the fraction of one account's requests that is admitted.

    The fraction falls while the account's token bucket is below the setpoint
    and rises while the bucket is above.

    Attributes:
        admitted_fraction: Fraction of the requests that is admitted: those
            whose position is below this value.
    """

    admitted_fraction: float = 1.0
    _updated_at: float = 0.0

    def admits(
        self, point: SamplePoint, fill_fraction: float, now: float
    ) -> bool:
        """Updates the admitted fraction, and decides on one request.

        Args:
            point: Position of the request.
            fill_fraction: Tokens of the account as a fraction of the burst.
            now: Current time on this process's monotonic clock, in seconds.

        Returns:
            Whether the sample includes the request. While the bucket is filled
            to at least ``_ADMIT_ALL_FILL_FRACTION``, the sample includes every
            request.
        """
        self._update_admitted_fraction(fill_fraction, now)
        return (
            point.position < self.admitted_fraction
            or fill_fraction >= _ADMIT_ALL_FILL_FRACTION
        )

    def _update_admitted_fraction(
        self, fill_fraction: float, now: float
    ) -> None:
        step_s = min(_MAX_UPDATE_STEP_S, now - self._updated_at)
        self._updated_at = now
        updated_fraction = self.admitted_fraction * math.exp(
            _GAIN_PER_S * (fill_fraction - _FILL_SETPOINT_FRACTION) * step_s
        )
        self.admitted_fraction = min(
            1.0, max(_MIN_ADMITTED_FRACTION, updated_fraction)
        )

"""Which requests of an account that is far over its rate are admitted.

A refused caller comes back, and takes the token of another caller that then
comes back in its turn: many are served late and few at once. So requests are
sampled by what they ask. All hosts refuse the same ones, also when they are
sent again, and the tokens go to callers that were never refused.

Load pattern: one account offers several times its rate for seconds, and each
refused caller tries again once.
"""

from __future__ import annotations

import math

import attrs

__all__ = ["EPOCH_S", "SamplePoint", "Sampler"]

# A sample is drawn anew so often, so that no request is refused for good; long
# against the time after which callers come back.
EPOCH_S = 10.0
# Hexadecimal digits of a fingerprint that decide the place.
_DIGITS = 8
# By how much a place moves from one draw to the next: the golden ratio, by
# which consecutive draws overlap least.
_SHIFT = (math.sqrt(5) - 1) / 2
# Part of the burst at which the tokens are kept: requests that come together
# find some.
_KEPT = 0.4
# Part of the burst from which on no request is refused for its place.
_PLENTY = 0.8
# How fast the admitted share follows the tokens, per second.
_GAIN = 0.5
# So that the share grows again within seconds.
_LEAST_SHARE = 0.02
# Longest time between two requests for which the share is moved.
_LONGEST_STEP_S = 0.5


@attrs.frozen
class SamplePoint:
    """A request's place in the samples of its account.

    Attributes:
        position: From 0 to 1; the same at all hosts and each time it is sent.
        next_draw_in_s: Seconds until the place is drawn anew.
    """

    position: float
    next_draw_in_s: float

    @classmethod
    def from_fingerprint(
        cls, fingerprint: str, unix_time_s: float
    ) -> SamplePoint:
        """Draws a request's place.

        Args:
            fingerprint: Hexadecimal digest of what the request asks.
            unix_time_s: Seconds since 1970; hosts whose clocks differ disagree
                only around the moment of a new draw.
        """
        number, elapsed = divmod(unix_time_s, EPOCH_S)
        drawn = int(fingerprint[:_DIGITS], 16) / 16**_DIGITS
        return cls((drawn + _SHIFT * number) % 1.0, EPOCH_S - elapsed)


@attrs.define
class Sampler:
    """The share of one account's requests that is admitted.

    Attributes:
        admitted_fraction: Requests whose place is below it are in the sample.
    """

    admitted_fraction: float = 1.0
    _moved_at: float = 0.0

    def admits(
        self, point: SamplePoint, fill_fraction: float, now: float
    ) -> bool:
        """Returns whether a request is in the sample.

        Args:
            point: The request's place.
            fill_fraction: Tokens as a part of the burst.
            now: Time on this process's clock.
        """
        self._follow(fill_fraction, now)
        return (
            point.position < self.admitted_fraction or fill_fraction >= _PLENTY
        )

    def _follow(self, fill: float, now: float) -> None:
        step = min(_LONGEST_STEP_S, now - self._moved_at)
        self._moved_at = now
        moved = self.admitted_fraction * math.exp(_GAIN * (fill - _KEPT) * step)
        self.admitted_fraction = min(1.0, max(_LEAST_SHARE, moved))

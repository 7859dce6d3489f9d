"""Limits on callers, from the settings and the operators' configuration."""

from __future__ import annotations

import resource

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import catalogue as catalogue_lib
from cassiahead_gateway import server_limits
from cassiahead_gateway import settings as settings_lib
from cassiahead_wire import body_buffer

__all__ = ["CallerLimitsSource", "max_held_bytes"]

# The rest is left for targets, peers and files.
_CALLERS_DESCRIPTOR_FRACTION = 0.5
_MAX_HEADER_BYTES = 1024 * 1024


def max_held_bytes(settings: settings_lib.Settings) -> int:
    """Returns how many bytes the process may hold for its peers."""
    configured_bytes = settings.caller_limits.max_held_bytes
    if configured_bytes is not None:
        return configured_bytes
    return max(
        settings_lib.MIN_HELD_BYTES, settings.memory_mb * settings_lib.MIB // 4
    )


def _max_descriptors(settings: settings_lib.Settings) -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [
        limit
        for limit in (settings.max_descriptors, soft_limit)
        if limit > 0 and limit != resource.RLIM_INFINITY
    ]
    return min(limits, default=2**31)


@attrs.define(eq=False)
class CallerLimitsSource:
    """Computes the limits in force; the same object while nothing changes."""

    _settings: settings_lib.Settings
    _catalogue: catalogue_lib.Catalogue
    _max_connections: int
    _configuration: api.Configuration | None = None
    _limits: server_limits.ServerLimits | None = None

    @classmethod
    def from_settings(
        cls,
        settings: settings_lib.Settings,
        catalogue: catalogue_lib.Catalogue,
    ) -> CallerLimitsSource:
        """Creates the source of a gateway.

        Args:
            settings: Settings of the gateway.
            catalogue: Holds the configuration in force.
        """
        max_connections = min(
            settings.caller_limits.max_connections,
            int(_max_descriptors(settings) * _CALLERS_DESCRIPTOR_FRACTION),
        )
        return cls(settings, catalogue, max(1, max_connections))

    def __call__(self) -> server_limits.ServerLimits:
        """Returns the limits in force."""
        router = self._catalogue.router
        configuration = None if router is None else router.configuration
        if self._limits is None or configuration is not self._configuration:
            self._configuration = configuration
            self._limits = self._compute(configuration)
        return self._limits

    def _compute(
        self, configuration: api.Configuration | None
    ) -> server_limits.ServerLimits:
        settings = self._settings.caller_limits
        limits = server_limits.ServerLimits(
            body_timeout_s=settings.body_timeout_s,
            unread_reply_timeout_s=settings.unread_reply_timeout_s,
            max_connections=self._max_connections,
            max_connections_per_address=settings.max_connections_per_address,
        )
        if configuration is None:
            return limits
        configured = configuration.limits
        # A caller may send a body, or read a reply, for as long as it waits.
        longest_s = max(
            (route.timeout_s for route in configuration.routes), default=0.0
        )
        return attrs.evolve(
            limits,
            # 0 stands for no limit of the operators' own.
            max_header_bytes=min(
                configured.max_header_bytes or limits.max_header_bytes,
                _MAX_HEADER_BYTES,
            ),
            max_body_bytes=min(
                configured.max_body_bytes, body_buffer.MAX_BODY_BYTES
            ),
            header_timeout_s=configured.header_timeout_s
            or limits.header_timeout_s,
            idle_timeout_s=configured.idle_timeout_s or limits.idle_timeout_s,
            body_timeout_s=max(limits.body_timeout_s, longest_s),
            unread_reply_timeout_s=max(
                limits.unread_reply_timeout_s, longest_s
            ),
        )

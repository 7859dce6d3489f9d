"""Finds the route of a request and the account of its key."""

from __future__ import annotations

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import errors

__all__ = ["Router"]

_SCHEME = "bearer "


@attrs.frozen
class Router:
    """The routes of one configuration, ready for lookups."""

    configuration: api.Configuration
    _by_host: dict[str, tuple[api.Route, ...]]

    @classmethod
    def from_configuration(cls, configuration: api.Configuration) -> Router:
        """Creates the lookup tables of a configuration."""
        by_host: dict[str, list[api.Route]] = {}
        for route in configuration.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        longest_first = {
            host: tuple(sorted(routes, key=lambda r: -len(r.path_prefix)))
            for host, routes in by_host.items()
        }
        return cls(configuration, longest_first)

    def route(self, host: str, path: str) -> api.Route:
        """Returns the route whose prefix is the longest that fits.

        Args:
            host: The ``Host`` header, with or without a port.
            path: Path with query.

        Raises:
            errors.RequestError: If there is none.
        """
        plain_path = path.partition("?")[0]
        for route in self._by_host.get(host.partition(":")[0].lower(), ()):
            if plain_path.startswith(route.path_prefix):
                return route
        raise errors.RequestError(
            errors.Code.NO_ROUTE,
            f"version {self.configuration.version} has no such route",
        )

    def account(
        self, route: api.Route, authorization: str | None
    ) -> api.Account | None:
        """Returns the account of the caller's key; None on an open route.

        Args:
            route: The request's route.
            authorization: The header with the key, if there is one.

        Raises:
            errors.RequestError: If the key is missing or not in force.
        """
        configuration = self.configuration
        if route.open or not configuration.accounts:
            return None
        if authorization is None:
            raise errors.RequestError(
                errors.Code.KEY_MISSING, "the route needs a key"
            )
        key = authorization.strip()
        if key.lower().startswith(_SCHEME):
            key = key[len(_SCHEME) :].strip()
        name = configuration.account_name_by_key.get(key)
        if name is None:
            raise errors.RequestError(
                errors.Code.KEY_INVALID,
                f"version {configuration.version} has no such key",
            )
        return configuration.accounts[name]

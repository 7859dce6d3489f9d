"""Matches requests to routes, and API keys to client accounts."""

from __future__ import annotations

import attrs

from cassiahead_gateway import api
from cassiahead_gateway import errors

__all__ = ["Router"]

_BEARER_PREFIX = "bearer "


@attrs.frozen
class Router:
    """Finds routes and client accounts in one version of the configuration.

    Attributes:
        configuration: Configuration that is searched.
    """

    configuration: api.Configuration
    _routes_by_host: dict[str, tuple[api.Route, ...]]

    @classmethod
    def from_configuration(cls, configuration: api.Configuration) -> Router:
        """Creates a router for the routes and keys of a configuration."""
        routes_by_host: dict[str, list[api.Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        sorted_routes_by_host = {
            host: tuple(
                sorted(routes, key=lambda route: -len(route.path_prefix))
            )
            for host, routes in routes_by_host.items()
        }
        return cls(configuration, sorted_routes_by_host)

    def find_route(self, host: str, path: str) -> api.Route:
        """Returns the route with the longest prefix that matches a request.

        Args:
            host: The ``Host`` header, with or without a port.
            path: Path with query.

        Raises:
            errors.RequestError: If no route of the host matches the path.
        """
        path_without_query = path.partition("?")[0]
        for route in self._routes_by_host.get(
            host.partition(":")[0].lower(), ()
        ):
            if path_without_query.startswith(route.path_prefix):
                return route
        raise errors.RequestError(
            errors.ErrorCode.NO_ROUTE,
            f"configuration version {self.configuration.version} has no route "
            f"for this host and path",
        )

    def find_account(
        self, route: api.Route, authorization: str | None
    ) -> api.Account | None:
        """Returns the client account that a request's API key belongs to.

        Args:
            route: Route of the request.
            authorization: Value of the header with the API key, with or
                without ``Bearer``; None if the request has no such header.

        Returns:
            The account; None if the route is open (requires no API key) or the
            configuration has no accounts.

        Raises:
            errors.RequestError: If the key is missing or belongs to no account.
        """
        configuration = self.configuration
        if route.is_open or not configuration.accounts:
            return None
        if authorization is None:
            raise errors.RequestError(
                errors.ErrorCode.KEY_MISSING, "the route requires an API key"
            )
        key = authorization.strip()
        if key.lower().startswith(_BEARER_PREFIX):
            key = key[len(_BEARER_PREFIX) :].strip()
        account_name = configuration.account_name_by_key.get(key)
        if account_name is None:
            raise errors.RequestError(
                errors.ErrorCode.KEY_INVALID,
                f"configuration version {configuration.version} has no such "
                f"API key",
            )
        return configuration.accounts[account_name]

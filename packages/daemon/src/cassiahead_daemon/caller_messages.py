"""Requests from callers and the answers to them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs

from cassiahead_protocol import api

if TYPE_CHECKING:
    from cassiahead_daemon import request_context
    from cassiahead_decisions import snapshot as snapshot_lib

__all__ = ["CallerAnswer", "CallerRequest"]


@attrs.frozen
class CallerRequest:
    """A request as a caller sent it, not yet authenticated or validated.

    Attributes:
        route: Name of the route.
        method: HTTP method.
        secret: Secret of the caller's API key; never logged nor passed on.
        record_id: Identifier of the record; required for lookups and orders.
        query: Search expression.
        limit: Maximum number of hits to return.
        body: JSON body of an order.
        idempotency_key: Key under which an order runs at most once; None if
            the caller gave none.
    """

    route: str
    method: str
    secret: str | None = attrs.field(default=None, repr=False)
    record_id: str = ""
    query: str = ""
    limit: int = 10
    body: str = ""
    idempotency_key: str | None = None


@attrs.frozen
class CallerAnswer:
    """A result with its coverage and the snapshot that it was merged from.

    The fields are the keys of the JSON answer to the caller.

    Attributes:
        request_id: Identifier of the request.
        route: Name of the route.
        account: Client account that the request ran for; empty on an open
            route.
        outcome: Always ``ran``.
        generation: Layout generation of the snapshot.
        version: Index version of the snapshot.
        shards_answered: Number of shards whose answers are in the result.
        shards_pinned: Number of shards that the request asked: all shards of
            the layout for a search, 1 for a lookup or an order.
        coverage: ``shards_answered`` as a fraction of ``shards_pinned``.
        result: For a search the merged hits, for a lookup or an order the
            payload of the target; any JSON value.
    """

    request_id: str
    route: str
    account: str
    outcome: api.Outcome
    generation: int
    version: int
    shards_answered: int
    shards_pinned: int
    coverage: float
    result: Any

    @classmethod
    def from_snapshot(
        cls,
        context: request_context.RequestContext,
        snapshot: snapshot_lib.Snapshot,
        result: Any,  # noqa: ANN401
    ) -> CallerAnswer:
        """Builds the answer to a search or a lookup.

        Args:
            context: The request.
            snapshot: The snapshot that the result comes from.
            result: The merged result, any JSON value.
        """
        return cls(
            request_id=context.request_id,
            route=context.route_name,
            account=context.account,
            outcome=api.Outcome.RAN,
            generation=snapshot.generation,
            version=snapshot.version,
            shards_answered=len(snapshot.payloads),
            shards_pinned=snapshot.shard_count,
            coverage=snapshot.coverage,
            result=result,
        )

    @classmethod
    def from_order(
        cls, context: request_context.RequestContext, answer: api.SubAnswer
    ) -> CallerAnswer:
        """Builds the answer to an order that has run.

        Args:
            context: The request.
            answer: The answer of the target that ran the order.
        """
        return cls(
            request_id=context.request_id,
            route=context.route_name,
            account=context.account,
            outcome=api.Outcome.RAN,
            generation=answer.generation,
            version=answer.version,
            shards_answered=1,
            shards_pinned=1,
            coverage=1.0,
            result=answer.payload,
        )

"""Limits on the memory of one response body and of all bodies together."""

from __future__ import annotations

from tornado import httputil

from cassiahead_wire import body_buffer
from cassiahead_wire import memory_budget

_SMALL = b"x" * 32 * 1024
_LARGE = b"x" * 1024 * 1024


def test_small_body_is_kept_although_the_budget_is_used_up() -> None:
    budget = memory_budget.MemoryBudget(max_bytes=0)
    buffer = body_buffer.BodyBuffer(budget)
    assert buffer.try_append(_SMALL)
    response = buffer.take_response(200, httputil.HTTPHeaders())
    assert response.body == _SMALL
    assert not body_buffer.BodyBuffer(budget).try_append(_SMALL + b"x")


def test_budget_is_shared_until_a_response_is_freed() -> None:
    budget = memory_budget.MemoryBudget(max_bytes=len(_LARGE))
    first, second = (body_buffer.BodyBuffer(budget) for _ in range(2))
    assert first.try_append(_LARGE)
    assert not second.try_append(_LARGE)
    second.discard()
    response = first.take_response(200, httputil.HTTPHeaders())
    assert budget.reserved_bytes == len(response.body) - len(_SMALL)
    del response
    assert budget.reserved_bytes == 0
    assert body_buffer.BodyBuffer(budget).try_append(_LARGE)


def test_one_body_has_a_limit_of_its_own() -> None:
    buffer = body_buffer.BodyBuffer(memory_budget.MemoryBudget(max_bytes=2**40))
    for _ in range(body_buffer.MAX_BODY_BYTES // len(_LARGE)):
        assert buffer.try_append(_LARGE)
    assert not buffer.try_append(b"x")


def test_limit_of_one_body_can_be_raised() -> None:
    size_bytes = body_buffer.MAX_BODY_BYTES + len(_LARGE)
    budget = memory_budget.MemoryBudget(max_bytes=2**40)
    buffer = body_buffer.BodyBuffer(budget, max_bytes=size_bytes)
    for _ in range(size_bytes // len(_LARGE)):
        assert buffer.try_append(_LARGE)
    assert not buffer.try_append(b"x")

"""Policies by which a process chooses among the replicas of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    import random

__all__ = [
    "CROSS_DOMAIN_PENALTY_S",
    "Policy",
    "TwoChoices",
    "WeightedRandom",
    "draw_index",
    "penalties_s",
]

# Added to the cost of a replica in another failure domain, in seconds of
# latency.
CROSS_DOMAIN_PENALTY_S = 0.003


@attrs.frozen
class TwoChoices:
    """Power of two choices: takes the cheaper of two replicas drawn at random.

    The cost of a replica, in seconds, is the expected time until a good answer,
    multiplied by one plus the number of outstanding requests, plus penalties.
    """


@attrs.frozen
class WeightedRandom:
    """Draws a replica with a probability that falls with the replica's cost.

    With few replicas, both of two random choices may be bad. Random weights
    also spread the load of hosts that see the same costs: they would otherwise
    all choose the cheapest replica. Costs are those of ``TwoChoices``.

    Attributes:
        cost_exponent: The probability is proportional to
            ``cost ** -cost_exponent``.
        cross_domain_penalty_s: Added to the cost of a replica in another
            failure domain, in seconds of latency: the network path is longer,
            and the traffic is billed.
        bad_answer_penalty_s: Cost of a bad answer, in seconds of latency:
            another attempt is needed and is charged to the extra-load budget. A
            replica's cost includes the penalty times the expected ratio of
            bad answers.
    """

    cost_exponent: float
    cross_domain_penalty_s: float = CROSS_DOMAIN_PENALTY_S
    bad_answer_penalty_s: float = 0.0


Policy = TwoChoices | WeightedRandom


def penalties_s(policy: Policy) -> tuple[float, float]:
    """Returns the penalties of a policy, in seconds of latency.

    Returns:
        The cost of another failure domain and that of a bad answer.
    """
    match policy:
        case WeightedRandom(
            cross_domain_penalty_s=cross_domain_penalty_s,
            bad_answer_penalty_s=bad_answer_penalty_s,
        ):
            return cross_domain_penalty_s, bad_answer_penalty_s
        case TwoChoices():
            return CROSS_DOMAIN_PENALTY_S, 0.0


def draw_index(weights: list[float], rng: random.Random) -> int:
    """Draws an index with a probability proportional to its weight.

    Equivalent to ``rng.choices`` with one draw, at less cost.
    """
    point = rng.random() * sum(weights)
    for index, weight in enumerate(weights[:-1]):
        point -= weight
        if point < 0:
            return index
    return len(weights) - 1

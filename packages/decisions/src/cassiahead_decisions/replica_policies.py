"""Policies by which a process chooses among the replicas of a shard."""

from __future__ import annotations

import math
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
    "paced_costs_s",
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


def paced_costs_s(
    costs_s: list[float],
    penalties_s: list[float],
    shares: list[float],
    policy: Policy,
) -> list[float]:
    """Replaces the costs of replicas that get a share of their usual load.

    The weight of such a replica is its share of the mean weight of the others.
    Its own results are too few to say what load is usual: on a host that
    seldom sends requests, the expected latencies of the others have decayed,
    and a replica that has just appeared would get almost none.

    Args:
        costs_s: Costs in seconds of latency, with the penalties.
        penalties_s: The part of each cost that is due to the failure domain.
        shares: Share of the usual load of each replica; 1 keeps the cost.
        policy: Policy by which the costs are used.

    Returns:
        The costs in seconds of latency.
    """
    usual = [i for i, share in enumerate(shares) if share >= 1]
    if len(usual) == len(shares):
        return costs_s
    paced_s = list(costs_s)
    others = usual or range(len(shares))
    for index, share in enumerate(shares):
        if share >= 1:
            continue
        reference_s = [
            costs_s[i] - penalties_s[i] + penalties_s[index] for i in others
        ]
        paced_s[index] = _cost_for_share_s(reference_s, share, policy)
    return paced_s


def _cost_for_share_s(
    costs_s: list[float], share: float, policy: Policy
) -> float:
    """Returns the cost at which a replica gets a share of the usual load."""
    match policy:
        case WeightedRandom(cost_exponent=exponent):
            weights = [math.pow(cost_s, -exponent) for cost_s in costs_s]
            mean_weight = sum(weights) / len(weights)
            return math.pow(share * mean_weight, -1 / exponent)
        case TwoChoices():
            return sum(costs_s) / len(costs_s) / share


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

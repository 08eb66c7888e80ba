"""Quotas: limits for each client that all dispatchers of a cluster enforce together (docs/quotas.md).

The docstring of cluster/token_budget.py says how much dispatchers can spend that a partition cuts off.
"""

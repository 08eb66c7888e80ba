"""Quotas: limits for each client that all dispatchers of a cluster enforce together (docs/quotas.md)."""

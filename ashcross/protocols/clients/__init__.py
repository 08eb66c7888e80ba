"""Connections from clients, which speak JSON-RPC."""

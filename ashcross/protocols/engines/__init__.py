"""Connections to engines, which speak RESP."""

"""State that dispatchers share: membership, one leader at a time, and token budgets lent under its lease.

`Node` is a state machine without I/O, `handle(now, event) -> actions`; a thin datagram transport runs it. The
package is used only if an operator's file configures a cluster (docs/cluster.md).
"""

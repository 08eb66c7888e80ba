"""Deterministic simulation of dispatchers: unaltered network code on a virtual clock and a virtual network.

Scenarios come from seeds or files. Engines, discovery and clients are emulated, faults are injected, and an
invariant checker judges each run by the bytes on the wire and the effects at the engines. Simulated runs open
no socket and read no wall clock; `processes.py` and `soak/` run real processes instead. `serve` never imports
this package.
"""

"""A randomized fault soak: real `serve` processes on loopback, overlapping faults, and an oracle.

`ashcross lab soak` runs it. Engines, service discovery and clients are part of the rig. All times are seconds
on the machine's monotonic clock.
"""

"""Faults below a real process: a preloaded library that affects its wall clock, sockets and files."""

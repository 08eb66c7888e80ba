"""A dispatcher as a process: configuration, startup, reload and shutdown."""

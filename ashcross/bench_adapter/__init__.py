"""The bench adapter: translates between the simulator's text protocol and the types of the gateway."""

"""The watch of the endpoint list, which service discovery publishes."""

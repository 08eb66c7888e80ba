"""ashcross: a query gateway that decides which query runs, on which engine and with how much memory."""

__version__ = "0.2.0"

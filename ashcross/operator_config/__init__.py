"""The operator's file: typed records in a subset of CUE, read only if the command line names such a file."""

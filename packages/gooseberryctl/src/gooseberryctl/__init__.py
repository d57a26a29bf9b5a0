"""Operator command line of gooseberrymux."""

"""Slopes for capacity planning: how costs grow with the size of a fleet."""

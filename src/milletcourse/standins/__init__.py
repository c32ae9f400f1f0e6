"""Deterministic stand-ins of the outside systems."""

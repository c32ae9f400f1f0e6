"""Micro-benchmarks of the router's overhead."""

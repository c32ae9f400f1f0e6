"""State and services that all parts of one gateway share, and its settings.

This package may import servers and telemetry.
"""

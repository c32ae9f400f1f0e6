"""Writes to applications that run at most once."""

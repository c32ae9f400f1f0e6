"""Deterministic simulation of whole clusters on a virtual clock."""

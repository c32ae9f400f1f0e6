"""Clients of engines, KV stores and applications."""

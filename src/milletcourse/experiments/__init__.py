"""Routing policies compared on equal arrivals."""

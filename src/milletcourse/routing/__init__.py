"""Selects the engine and the cached prefix for one permitted request."""

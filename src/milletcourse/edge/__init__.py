"""HTTP API for clients and operators."""

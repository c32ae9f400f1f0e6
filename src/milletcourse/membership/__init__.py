"""Failure detection and the cluster membership view of a router."""

"""Replication of the object store: read directly or from another gateway, and served to followers.

The state of the gateway is updated from the objects and changes. This package may import clients,
state and the packages below them.
"""

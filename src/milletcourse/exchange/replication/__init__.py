"""Selects the gateways that read the object store for others, and tracks replication freshness.

Inputs are gateway records and response times; outputs are readers to follow and the age of the
replicated state. The package may import messages.
"""

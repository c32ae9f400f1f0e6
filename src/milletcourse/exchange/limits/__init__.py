"""Limits that all gateways enforce together: tenant limits, and quotas of servers.

Inputs are requests and the use reported by other gateways; outputs are permits, refusals and retry
times. The package may import load and the layers below it.
"""

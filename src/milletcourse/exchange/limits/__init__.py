"""Bounds that all gateways keep together: tenants' limits, and units of servers' limits.

Requests and what others use come in; permits, refusals and times go out. It may import load and
what is below it.
"""

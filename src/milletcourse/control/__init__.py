"""Leases with fencing tokens and the duties that run under them."""

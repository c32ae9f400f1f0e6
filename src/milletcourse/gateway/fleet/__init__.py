"""Tasks that gateways share: load messages, weight orders under a lease, probes of cache stores.

This package may import `store` and the packages below it.
"""

"""What gateways do together: messages about load, weight orders under a lease, probes of stores.

It may import store and what is below it.
"""

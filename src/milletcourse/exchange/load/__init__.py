"""Exchange of server load, tenant usage and servers' self-reported state between gateways.

Inputs are the gateway's own load and the messages of others, outputs are messages and sums over the
fleet. It may import evidence, servers, counting and messages.
"""

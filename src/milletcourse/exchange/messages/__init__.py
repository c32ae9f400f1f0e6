"""Message types: requests, answers, configuration records and messages between gateways.

Holds typed messages and their encodings, no state and no decisions. It imports no other package of
the exchange.
"""

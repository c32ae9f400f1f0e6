"""What is said: requests, answers, records of the configuration, and messages between gateways.

Typed messages and their formats; no state and no decision. It imports nothing of the other rooms.
"""

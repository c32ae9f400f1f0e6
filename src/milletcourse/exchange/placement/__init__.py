"""Where a request goes: routes, candidates, homes of prompts, costs, and the KV-cache stores.

The input is a request; the output is a server. The package may import all packages of `exchange`
except attempts and replication.
"""

"""Where a request goes: routes, candidates, homes of prompts, costs, and the store of kept state.

A request comes in; a server goes out. It may import all rooms but attempts and reading.
"""

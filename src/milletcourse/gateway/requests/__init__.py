"""One client's request on its way through attempts at servers to one final answer.

A whole request comes in; an answer goes out. It may import clients, state and what is below them.
"""

"""Serves one client request by attempts at servers until there is one final answer.

The input is a complete request and the output its answer. This package may import clients, state
and the packages below them.
"""

"""Connections of clients: how many, what they send, and what is answered.

Bytes come in; whole requests go out, and answers come back. It may import state and what is below.
"""

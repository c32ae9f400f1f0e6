"""Connections and calls to servers, leave to send to them, and what their ends tell.

Requests come in; answers go out. It may import telling.
"""

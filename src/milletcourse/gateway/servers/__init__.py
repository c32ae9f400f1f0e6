"""Connections and calls to servers, permits to send to them, and what their ends tell.

Requests come in; answers go out. It may import telling.
"""

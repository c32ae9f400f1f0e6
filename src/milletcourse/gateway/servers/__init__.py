"""Connections and calls to servers, permits to send to them, and detection of their crashes.

The input is a request and the output a server's answer. This package may import telemetry.
"""

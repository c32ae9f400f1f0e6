"""Telemetry of a gateway: structured log lines, metrics and the outcome of each request.

All other packages of the gateway report their decisions here; this package imports none of them.
"""

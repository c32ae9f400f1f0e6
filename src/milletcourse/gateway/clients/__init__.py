"""Client connections: their number, the requests read from them, and the answers written to them.

The input is bytes and the output complete requests, whose answers come back here. This package may
import state and the packages below it.
"""

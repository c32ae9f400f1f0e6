"""Counters and sums for the other packages: decaying, windowed, keyed; and weighted choice.

Plain arithmetic without input/output. It may import messages.
"""

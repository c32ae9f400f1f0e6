"""Counts and sums that others keep: decaying, over windows, by key, and weighted choices.

Numbers come in and numbers go out. It may import messages.
"""

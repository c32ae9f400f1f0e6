"""What all parts of one gateway share, and its settings.

It may import servers and telling.
"""

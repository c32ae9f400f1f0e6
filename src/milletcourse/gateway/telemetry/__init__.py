"""What a gateway says of itself: log lines, figures, and how each request ended.

Decisions come in from all other rooms; lines and figures go out. It imports none of them.
"""

"""What is known of each server: its incarnations, weight versions, load and health.

Entries, answers and notices come in; instances go out. It may import messages and counting.
"""

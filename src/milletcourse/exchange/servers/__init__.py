"""What is known of each server: its incarnations, weight versions, load and health.

Inputs are discovery entries, answers and notices; outputs are instances. The package may import
messages and counting.
"""

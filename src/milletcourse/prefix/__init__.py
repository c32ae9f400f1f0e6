"""Prompt blocks, their hash chain, and estimates of which blocks engines cache."""

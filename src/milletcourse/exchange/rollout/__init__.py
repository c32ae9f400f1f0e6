"""Rollout of model weights: when servers load new versions, and which versions may start work.

Inputs are released versions and server reports, outputs are orders and permissions. It may import
servers and the layers below.
"""

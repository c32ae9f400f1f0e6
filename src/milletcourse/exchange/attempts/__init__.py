"""What follows an attempt: a retry, a hand-over or a refusal; and timeouts of silent servers.

Inputs are results of attempts; outputs are next steps. The package may import placement and the
layers below it.
"""

"""Fault soak: real gateway processes before stand-ins, with faults from outside and promises
checked while it runs."""

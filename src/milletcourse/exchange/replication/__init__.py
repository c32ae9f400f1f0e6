"""Who reads the object store for others, and how fresh what a gateway knows is.

Entries of gateways and times of answers come in; readers and ages go out. It may import messages.
"""

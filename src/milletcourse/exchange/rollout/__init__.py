"""When servers take new weights, and which versions may start work.

Named versions and reports come in; orders and permissions go out. It may import servers and what is
below it.
"""

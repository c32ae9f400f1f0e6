"""I/O of a gateway: connections, watches, orders to servers. `exchange` makes the decisions."""

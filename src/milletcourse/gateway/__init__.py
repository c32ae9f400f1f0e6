"""Input/output of a gateway: connections, watches, orders; decisions come from `exchange`."""

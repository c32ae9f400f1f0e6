"""Complete, in-order relay and resumption of answer streams."""

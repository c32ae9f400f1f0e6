"""Pass-through exchanges: routes, instances, attempts, version roll-out; no input/output."""

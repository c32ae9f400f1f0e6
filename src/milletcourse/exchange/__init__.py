"""Pass-through exchanges: routes, instances, attempts and version roll-out, without input/output."""

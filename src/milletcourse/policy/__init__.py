"""Policy objects, label selectors and the compiled policy."""

"""milletcourse: a router for language-model traffic that places work by policy."""

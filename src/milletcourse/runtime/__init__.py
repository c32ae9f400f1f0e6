"""Clocks, random sources, sockets and HTTP: all interfaces to the operating system."""

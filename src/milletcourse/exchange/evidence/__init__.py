"""Which requests are known to end servers, and whether one is contained.

Ends and answers come in, here and from other gateways; containments go out. It may import messages.
"""

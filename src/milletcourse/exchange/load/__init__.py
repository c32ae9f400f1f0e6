"""Who tells whom the load on servers, what tenants spend, and what servers say of themselves.

Own figures and messages of others come in; messages and sums of the whole fleet go out. It may
import evidence, servers, counting and messages.
"""

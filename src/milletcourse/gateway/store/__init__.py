"""What the object store holds, read here or learnt from another gateway, and told to followers.

Objects and changes come in; the state of the gateway follows them. It may import clients, state and
what is below them.
"""

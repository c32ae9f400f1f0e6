"""What follows an attempt: another one, a hand-over, a refusal; and how long silence is borne.

Results come in; steps go out. It may import placement and what is below it.
"""

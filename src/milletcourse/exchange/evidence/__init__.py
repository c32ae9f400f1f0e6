"""Tracks which requests crash servers, and which of them are contained (not sent any more).

Inputs are crashes and answers seen at this gateway and at others; outputs are containments. The
package may import messages.
"""

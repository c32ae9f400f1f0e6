"""Admission control: tenant limits, fair shares, deadlines and the retry budget."""

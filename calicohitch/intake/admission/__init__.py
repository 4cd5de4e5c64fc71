"""Admission control: which clients may connect, for how long, and what is shed under overload. No I/O."""

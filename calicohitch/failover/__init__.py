"""Copies of work in hand, and who acts on them, once. Off unless switched on."""

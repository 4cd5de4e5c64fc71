"""Traces of messages across hops: facts noted while a message lives, spans made of those that are kept.

Nothing here is imported while tracing is off. Times are float milliseconds of the relay's one clock.
"""

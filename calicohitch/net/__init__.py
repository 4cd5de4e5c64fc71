"""The relay on real sockets."""

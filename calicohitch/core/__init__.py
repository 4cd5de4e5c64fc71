"""Interfaces between the decision engine and the protocols, and utilities that both sides use."""

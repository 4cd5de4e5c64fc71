"""The relay and its network connections: discovery, endpoints, notices and peers."""
